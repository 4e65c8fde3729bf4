package replica

// KindIdentityReply lets tests count identity replies.
const KindIdentityReply = kindIdentityReply

// PauseGroup blocks the core mailbox of a group until resume is called, like a paused
// process.
func (h *Host) PauseGroup(group uint64) (resume func(), err error) {
	g, err := h.lookup(group)
	if err != nil {
		return nil, err
	}
	paused := make(chan struct{})
	g.core.post(func() { <-paused })
	return func() { close(paused) }, nil
}
