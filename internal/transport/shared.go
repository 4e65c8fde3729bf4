package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/rpcpb"
)

// maxSharedBytes is the size of encoded calls or replies after which the next ones
// go into a message of their own.
const maxSharedBytes = 1 << 20

// CallShared does what Call does over a stream that it shares with the other calls
// of the same method to the same peer: calls that come together are one message. The
// method must be registered with Shared. A call whose context ends returns at once
// with ErrBroken and the context's error; the peer may still serve it.
func (p *Pool) CallShared(ctx context.Context, address, method string, req, resp proto.Message) error {
	data, err := proto.Marshal(req)
	if err != nil {
		return fmt.Errorf("transport: encode %s: %w", req.ProtoReflect().Descriptor().Name(), err)
	}
	if len(data) > MaxMessageBytes-maxSharedBytes {
		return fmt.Errorf("%w: %d bytes", ErrTooLarge, len(data))
	}
	shared, err := p.sharedStream(ctx, address, method)
	if err != nil {
		return err
	}
	return shared.call(ctx, data, resp)
}

// sharedKey names a shared stream.
type sharedKey struct {
	address, method string
}

// sharedStream returns the stream to a peer, which it opens if there is none.
func (p *Pool) sharedStream(ctx context.Context, address, method string) (*sharedStream, error) {
	key := sharedKey{address, method}
	p.mu.RLock()
	shared := p.shared[key]
	p.mu.RUnlock()
	if shared != nil && !shared.broken() {
		return shared, nil
	}
	result := p.dials.DoChan(method+" "+address, func() (any, error) { return p.openShared(key) })
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, ctx.Err())
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*sharedStream), nil
	}
}

func (p *Pool) openShared(key sharedKey) (*sharedStream, error) {
	stream, err := p.Open(context.Background(), key.address, key.method)
	if err != nil {
		return nil, err
	}
	shared := newSharedStream(stream)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		shared.fail(errPoolClosed)
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, key.address, errPoolClosed)
	}
	p.shared[key] = shared
	return shared, nil
}

// Causes of a stream's end on this side.
var (
	errPoolClosed = errors.New("pool is closed")
	errIdle       = errors.New("stream was idle")
)

// sharedStream is the caller's side of a stream that many calls share.
type sharedStream struct {
	stream *Stream
	queue  *sendQueue[*rpcpb.Call]

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan<- *rpcpb.Reply
	err     error // why the stream ended
	used    time.Time
	done    chan struct{} // closed when the stream has ended
}

func newSharedStream(stream *Stream) *sharedStream {
	s := &sharedStream{
		stream:  stream,
		queue:   newSendQueue[*rpcpb.Call](),
		pending: make(map[uint64]chan<- *rpcpb.Reply),
		used:    time.Now(),
		done:    make(chan struct{}),
	}
	go s.send()
	go s.receive()
	return s
}

func (s *sharedStream) broken() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// call sends a request and waits for its reply.
func (s *sharedStream) call(ctx context.Context, data []byte, resp proto.Message) error {
	call := &rpcpb.Call{Request: data}
	if deadline, ok := ctx.Deadline(); ok {
		call.TimeoutMs = max(1, time.Until(deadline).Milliseconds())
	}
	reply := make(chan *rpcpb.Reply, 1)
	if err := s.register(call, reply); err != nil {
		return err
	}
	defer s.forget(call.Id)
	s.queue.add(call)
	select {
	case r := <-reply:
		return decodeReply(r, resp)
	case <-s.done:
		return fmt.Errorf("%w: %w", ErrBroken, s.err)
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrBroken, ctx.Err())
	}
}

func decodeReply(r *rpcpb.Reply, resp proto.Message) error {
	if r.Status != nil {
		return errorOf(r.Status)
	}
	if err := proto.Unmarshal(r.Response, resp); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrMalformed, resp.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}

// register gives the call its ID.
func (s *sharedStream) register(call *rpcpb.Call, reply chan<- *rpcpb.Reply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, s.err)
	}
	s.lastID++
	call.Id = s.lastID
	s.pending[call.Id] = reply
	s.used = time.Now()
	return nil
}

func (s *sharedStream) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

// idleSince returns when the latest call began, and whether calls wait.
func (s *sharedStream) idleSince() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used, len(s.pending) > 0
}

// fail ends the stream and all calls on it.
func (s *sharedStream) fail(err error) {
	s.mu.Lock()
	first := s.err == nil
	if first {
		s.err = err
	}
	s.mu.Unlock()
	if !first {
		return
	}
	close(s.done)
	s.queue.close()
	s.stream.Close()
}

// send writes the queued calls until the stream ends.
func (s *sharedStream) send() {
	for calls := s.queue.take(); calls != nil; calls = s.queue.take() {
		if err := s.stream.Send(&rpcpb.Calls{Calls: calls}); err != nil {
			s.fail(err)
			return
		}
	}
}

// receive hands replies to their calls until the stream ends.
func (s *sharedStream) receive() {
	for {
		replies := new(rpcpb.Replies)
		if err := s.stream.Recv(replies); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			s.fail(err)
			return
		}
		for _, r := range replies.Replies {
			s.deliver(r)
		}
	}
}

func (s *sharedStream) deliver(r *rpcpb.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply := s.pending[r.Id]; reply != nil {
		delete(s.pending, r.Id)
		reply <- r
	}
}

// SharedUnary returns the Handler of a method that is called by CallShared. Each call is
// served on a goroutine of its own; its context ends with the stream or with the
// caller's time.
func SharedUnary[Req any, PReq message[Req], Resp proto.Message](f func(ctx context.Context, req PReq) (Resp, error)) Handler {
	serve := func(ctx context.Context, call *rpcpb.Call) *rpcpb.Reply {
		req := PReq(new(Req))
		if err := proto.Unmarshal(call.Request, req); err != nil {
			return &rpcpb.Reply{Id: call.Id, Status: statusOf(Errorf(rpcpb.Code_CODE_INVALID, "%s", err))}
		}
		if call.TimeoutMs > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(call.TimeoutMs)*time.Millisecond)
			defer cancel()
		}
		resp, err := f(ctx, req)
		if err != nil {
			return &rpcpb.Reply{Id: call.Id, Status: statusOf(err)}
		}
		data, err := proto.Marshal(resp)
		if err != nil || len(data) > MaxMessageBytes-maxSharedBytes {
			return &rpcpb.Reply{Id: call.Id, Status: statusOf(Errorf(rpcpb.Code_CODE_INTERNAL, "response of %d bytes: %v", len(data), err))}
		}
		return &rpcpb.Reply{Id: call.Id, Response: data}
	}
	return func(ctx context.Context, s *Stream) error { return serveShared(ctx, s, serve) }
}

// serveShared serves the calls of one stream until it ends.
func serveShared(ctx context.Context, s *Stream, serve func(context.Context, *rpcpb.Call) *rpcpb.Reply) error {
	ctx, cancel := context.WithCancel(ctx)
	replies := newSendQueue[*rpcpb.Reply]()
	var work sync.WaitGroup
	defer work.Wait()
	defer replies.close()
	defer cancel()
	work.Go(func() {
		for list := replies.take(); list != nil; list = replies.take() {
			if err := s.Send(&rpcpb.Replies{Replies: list}); err != nil {
				s.Close()
				return
			}
		}
	})
	for {
		calls := new(rpcpb.Calls)
		if err := s.Recv(calls); err != nil {
			return err
		}
		for _, call := range calls.Calls {
			work.Go(func() { replies.add(serve(ctx, call)) })
		}
	}
}
