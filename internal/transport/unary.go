package transport

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/rpcpb"
)

// message is the constraint for *T where T is a generated protobuf message.
type message[T any] interface {
	*T
	proto.Message
}

// Unary returns the Handler of a method with one request and one response.
func Unary[Req any, PReq message[Req], Resp proto.Message](f func(ctx context.Context, req PReq) (Resp, error)) Handler {
	return func(ctx context.Context, s *Stream) error {
		req := PReq(new(Req))
		if err := s.Recv(req); err != nil {
			if errors.Is(err, ErrMalformed) {
				return Errorf(rpcpb.Code_CODE_INVALID, "%s", err)
			}
			return err
		}
		resp, err := f(ctx, req)
		if err != nil {
			return err
		}
		return s.Send(resp)
	}
}
