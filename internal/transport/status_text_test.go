package transport

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/rpcpb"
)

// errorTextWithUnreadableBytesEndsOnlyItsCall guards against an error that quotes bytes of a
// request: its status could not be encoded, which ended the stream that all calls share.
func errorTextWithUnreadableBytesEndsOnlyItsCall(t *testing.T) {
	waiting, release := make(chan struct{}), make(chan struct{})
	l := newSharedLink(func(_ context.Context, req *rpcpb.Announcement) (*rpcpb.Announcement, error) {
		switch req.Server {
		case "slow":
			close(waiting)
			<-release
		case "quote":
			return nil, errors.New("unknown name \xff\xfe")
		case "quote with a code":
			return nil, Errorf(rpcpb.Code_CODE_INVALID, "unknown name \xff\xfe")
		}
		return req, nil
	})
	defer l.close()
	slow := make(chan error, 1)
	go func() {
		_, err := l.callShared(t.Context(), "slow")
		slow <- err
	}()
	<-waiting
	_, err := l.callShared(t.Context(), "quote")
	assert.Equal(t, CodeOf(err), rpcpb.Code_CODE_INTERNAL)
	_, err = l.callShared(t.Context(), "quote with a code")
	assert.Equal(t, CodeOf(err), rpcpb.Code_CODE_INVALID)
	close(release)
	assert.NilError(t, <-slow)
}
