package replica

// KindIdentityReply lets tests count the answers of first members.
const KindIdentityReply = kindIdentityReply

// Freeze holds up a group until release is called, as a stopped process does.
func (h *Host) Freeze(group uint64) (release func(), err error) {
	g, err := h.lookup(group)
	if err != nil {
		return nil, err
	}
	held := make(chan struct{})
	g.core.post(func() { <-held })
	return func() { close(held) }, nil
}
