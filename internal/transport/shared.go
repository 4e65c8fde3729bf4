package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/proto/rpcpb"
)

// maxBatchBytes limits the encoded calls or replies that are sent as one message. A
// larger call or reply is sent alone.
const maxBatchBytes = 1 << 20

// CallShared is like Call, but all calls of one method to one peer share a stream, and
// calls that are queued at the same time are sent as one message. The peer must
// register the method with SharedUnary. When ctx ends, CallShared returns at once with
// an error that wraps the context's error and ErrInterrupted, or ErrUnreachable if the
// stream was not open yet. After ErrInterrupted the peer may still execute the call.
func (p *Pool) CallShared(ctx context.Context, address, method string, req, resp proto.Message) error {
	data, err := proto.Marshal(req)
	if err != nil {
		return fmt.Errorf("transport: encode %s: %w", req.ProtoReflect().Descriptor().Name(), err)
	}
	if len(data) > MaxMessageBytes-maxBatchBytes {
		return fmt.Errorf("%w: %s of %d bytes, limit %d", ErrTooLarge, req.ProtoReflect().Descriptor().Name(), len(data), MaxMessageBytes-maxBatchBytes)
	}
	shared, err := p.sharedStream(ctx, address, method)
	if err != nil {
		return err
	}
	return shared.call(ctx, data, resp)
}

// sharedKey identifies a shared stream.
type sharedKey struct {
	address, method string
}

// sharedStream returns the open shared stream for a peer and method, or opens one.
// Concurrent callers share one attempt to open it.
func (p *Pool) sharedStream(ctx context.Context, address, method string) (*sharedStream, error) {
	key := sharedKey{address, method}
	p.mu.RLock()
	shared := p.shared[key]
	p.mu.RUnlock()
	if shared != nil && !shared.isClosed() {
		return shared, nil
	}
	result := p.dials.DoChan(method+" "+address, contained(func() (any, error) { return p.openShared(key) }))
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

// Reasons for which the pool closes a shared stream.
var (
	errPoolClosed = errors.New("pool is closed")
	errIdle       = errors.New("stream was idle")
)

// sharedStream is the client side of a stream that is shared by many calls.
type sharedStream struct {
	stream *Stream
	queue  *sendQueue[*rpcpb.Call]

	mu       sync.Mutex
	lastID   uint64
	pending  map[uint64]chan<- *rpcpb.Reply // by the ID of the call
	err      error                          // why the stream was closed, nil while it is open
	lastUsed time.Time                      // start of the latest call
	done     chan struct{}                  // closed when the stream is closed
}

func newSharedStream(stream *Stream) *sharedStream {
	s := &sharedStream{
		stream:   stream,
		queue:    newSendQueue[*rpcpb.Call](),
		pending:  make(map[uint64]chan<- *rpcpb.Reply),
		lastUsed: time.Now(),
		done:     make(chan struct{}),
	}
	go s.runUntilFailed(s.sendCalls)
	go s.runUntilFailed(s.receiveReplies)
	return s
}

// runUntilFailed calls f, after whose panic the stream is closed.
func (s *sharedStream) runUntilFailed(f func()) {
	if err := panics.Contain(nil, "shared stream", f); err != nil {
		s.fail(err)
	}
}

func (s *sharedStream) isClosed() bool {
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
	defer s.unregister(call.Id)
	s.queue.add(call)
	select {
	case r := <-reply:
		return decodeReply(r, resp)
	case <-s.done:
		return fmt.Errorf("%w: %w", ErrInterrupted, s.err)
	case <-ctx.Done():
		s.queue.remove(call)
		return fmt.Errorf("%w: %w", ErrInterrupted, ctx.Err())
	}
}

func decodeReply(r *rpcpb.Reply, resp proto.Message) error {
	if r.Status != nil {
		return errorFromStatus(r.Status)
	}
	if err := proto.Unmarshal(r.Response, resp); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrMalformed, resp.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}

// register assigns the call an ID and adds it to the pending calls.
func (s *sharedStream) register(call *rpcpb.Call, reply chan<- *rpcpb.Reply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return fmt.Errorf("%w: %w", ErrInterrupted, s.err)
	}
	s.lastID++
	call.Id = s.lastID
	s.pending[call.Id] = reply
	s.lastUsed = time.Now()
	return nil
}

func (s *sharedStream) unregister(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

// activity returns the start of the latest call and whether calls are pending.
func (s *sharedStream) activity() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastUsed, len(s.pending) > 0
}

// fail closes the stream and ends all calls on it with err. Only the first call has
// an effect.
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

// sendCalls sends queued calls until the stream is closed.
func (s *sharedStream) sendCalls() {
	for calls := s.queue.take(); calls != nil; calls = s.queue.take() {
		if err := s.stream.Send(&rpcpb.Calls{Calls: calls}); err != nil {
			s.fail(err)
			return
		}
	}
}

// receiveReplies passes replies to their callers until the stream is closed.
func (s *sharedStream) receiveReplies() {
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

// deliver passes a reply to its caller. It ignores a reply whose caller has returned.
func (s *sharedStream) deliver(r *rpcpb.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply := s.pending[r.Id]; reply != nil {
		delete(s.pending, r.Id)
		reply <- r
	}
}

// SharedUnary returns the Handler of a method that clients call with CallShared. Each
// call runs in its own goroutine. Its context ends with the stream or at the caller's
// deadline.
func SharedUnary[Req any, PReq message[Req], Resp proto.Message](f func(ctx context.Context, req PReq) (Resp, error)) Handler {
	serve := func(ctx context.Context, call *rpcpb.Call) *rpcpb.Reply {
		req := PReq(new(Req))
		err := proto.Unmarshal(call.Request, req)
		call.Request = nil // its memory can be used again while the request is handled
		if err != nil {
			return &rpcpb.Reply{Id: call.Id, Status: statusFromError(Errorf(rpcpb.Code_CODE_INVALID, "%s", err))}
		}
		if call.TimeoutMs > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(call.TimeoutMs)*time.Millisecond)
			defer cancel()
		}
		resp, err := f(ctx, req)
		if err != nil {
			return &rpcpb.Reply{Id: call.Id, Status: statusFromError(err)}
		}
		data, err := proto.Marshal(resp)
		if err != nil || len(data) > MaxMessageBytes-maxBatchBytes {
			return &rpcpb.Reply{Id: call.Id, Status: statusFromError(Errorf(rpcpb.Code_CODE_INTERNAL, "response of %d bytes: %v", len(data), err))}
		}
		return &rpcpb.Reply{Id: call.Id, Response: data}
	}
	return func(ctx context.Context, s *Stream) error { return serveShared(ctx, s, serve) }
}

// serveShared serves the calls on one stream until it ends, then waits for the calls
// that still run. A call whose handler panics gets CODE_INTERNAL.
func serveShared(ctx context.Context, s *Stream, serve func(context.Context, *rpcpb.Call) *rpcpb.Reply) error {
	ctx, cancel := context.WithCancel(ctx)
	replies := newSendQueue[*rpcpb.Reply]()
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer replies.close()
	defer cancel()
	goroutines.Go(func() {
		for batch := replies.take(); batch != nil; batch = replies.take() {
			if err := s.Send(&rpcpb.Replies{Replies: batch}); err != nil {
				s.Close()
				return
			}
		}
	})
	for {
		calls, release, err := recvCalls(ctx, s)
		if err != nil {
			return err
		}
		var unanswered atomic.Int64
		unanswered.Store(int64(len(calls)))
		if len(calls) == 0 {
			release()
		}
		for _, call := range calls {
			goroutines.Go(func() {
				defer func() {
					if unanswered.Add(-1) == 0 {
						release()
					}
				}()
				var reply *rpcpb.Reply
				if err := panics.Contain(s.log, "shared call", func() { reply = serve(ctx, call) }); err != nil {
					reply = &rpcpb.Reply{Id: call.Id, Status: statusFromError(err)}
				}
				replies.add(reply)
			})
		}
	}
}

// recvCalls receives the next calls. release must be called once they have been answered. A large
// request that arrives slowly counts toward the limit of large ones only once it is there, so that it
// does not stop others; until then it counts toward maxReceivedBytes.
func recvCalls(ctx context.Context, s *Stream) (calls []*rpcpb.Call, release func(), err error) {
	release = func() {}
	var slow *time.Timer // nil: the request is small
	large := 0
	s.admit = func(size int) error {
		if s.large == nil || size < largeMessageBytes {
			return nil
		}
		admitted, err := s.large.acquire(ctx, size)
		if err != nil {
			return err
		}
		large, release = size, sync.OnceFunc(admitted)
		slow = time.AfterFunc(largeArrivalTime, release)
		return nil
	}
	message := new(rpcpb.Calls)
	err = s.Recv(message)
	if err == nil && slow != nil && !slow.Stop() {
		release()
		if release, err = s.large.acquire(ctx, large); err != nil {
			return nil, nil, err
		}
	}
	if err != nil {
		release()
		return nil, nil, err
	}
	return message.Calls, release, nil
}
