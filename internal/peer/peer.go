// Package peer carries the messages of the replicated log between control
// processes: one stream for each direction between two processes, whatever the
// number of groups.
package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/raftpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	// queueBatches is how many batches wait for a peer before new ones are
	// dropped; the log sends again what was lost.
	queueBatches       = 256
	reconnectPause     = 100 * time.Millisecond
	sendTimeout        = 2 * time.Second
	snapshotChunkBytes = 256 << 10
)

// Receiver takes what a peer sent.
type Receiver interface {
	Receive(batch *raftpb.MessageBatch)
	ReceiveSnapshot(ctx context.Context, msg *raftpb.Message, data io.Reader) error
}

// Transport sends messages to the other control processes. It is safe for
// concurrent use.
type Transport struct {
	pool *transport.Pool
	log  hclog.Logger

	mu     sync.Mutex
	queues map[string]chan *raftpb.MessageBatch
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

var _ replica.Transport = (*Transport)(nil)

// New returns a transport over a pool of sessions.
func New(pool *transport.Pool, log hclog.Logger) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		pool:   pool,
		log:    log,
		queues: make(map[string]chan *raftpb.MessageBatch),
		ctx:    ctx,
		cancel: cancel,
	}
}

// Close stops sending.
func (t *Transport) Close() {
	t.cancel()
	t.wg.Wait()
}

// Send implements replica.Transport. It never blocks.
func (t *Transport) Send(address string, batch *raftpb.MessageBatch) {
	select {
	case t.queue(address) <- batch:
	default:
	}
}

func (t *Transport) queue(address string) chan<- *raftpb.MessageBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	q, ok := t.queues[address]
	if !ok {
		q = make(chan *raftpb.MessageBatch, queueBatches)
		t.queues[address] = q
		t.wg.Go(func() { t.deliver(address, q) })
	}
	return q
}

// deliver sends the batches of one peer in order. What was queued while the
// peer could not be reached is dropped.
func (t *Transport) deliver(address string, queue <-chan *raftpb.MessageBatch) {
	for t.ctx.Err() == nil {
		err := t.deliverOnce(address, queue)
		if t.ctx.Err() != nil {
			return
		}
		t.log.Debug("peer connection ended", "peer", address, "error", err)
		t.pool.CloseSession(address)
		t.pause(queue)
	}
}

func (t *Transport) deliverOnce(address string, queue <-chan *raftpb.MessageBatch) error {
	stream, err := t.pool.Open(t.ctx, address, transport.MethodReplicaMessages)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		select {
		case <-t.ctx.Done():
			return t.ctx.Err()
		case batch := <-queue:
			if err := stream.SetDeadline(time.Now().Add(sendTimeout)); err != nil {
				return err
			}
			if err := stream.Send(batch); err != nil {
				return err
			}
		}
	}
}

// pause waits before the next connection and empties the queue.
func (t *Transport) pause(queue <-chan *raftpb.MessageBatch) {
	timer := time.NewTimer(reconnectPause)
	defer timer.Stop()
	for {
		select {
		case <-queue:
		case <-timer.C:
			return
		case <-t.ctx.Done():
			return
		}
	}
}

// SendSnapshot implements replica.Transport. It returns when the peer has taken
// the snapshot.
func (t *Transport) SendSnapshot(ctx context.Context, address string, msg *raftpb.Message, data io.Reader) error {
	stream, err := t.pool.Open(ctx, address, transport.MethodReplicaSnapshot)
	if err != nil {
		return fmt.Errorf("peer: snapshot to %s: %w", address, err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	if err := stream.Send(msg); err != nil {
		return fmt.Errorf("peer: snapshot to %s: %w", address, err)
	}
	if err := sendChunks(stream, data); err != nil {
		return fmt.Errorf("peer: snapshot to %s: %w", address, err)
	}
	if err := stream.Recv(new(rpcpb.Empty)); err != nil {
		return fmt.Errorf("peer: snapshot to %s: %w", address, err)
	}
	return nil
}

func sendChunks(stream *transport.Stream, data io.Reader) error {
	buf := make([]byte, snapshotChunkBytes)
	for {
		n, err := io.ReadFull(data, buf)
		last := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		if err != nil && !last {
			return err
		}
		if err := stream.Send(&rpcpb.SnapshotChunk{Data: buf[:n], Last: last}); err != nil {
			return err
		}
		if last {
			return nil
		}
	}
}

// Register adds the methods that receive from peers to a server.
func Register(server *transport.Server, receiver Receiver) {
	server.Handle(transport.MethodReplicaMessages, func(_ context.Context, s *transport.Stream) error {
		return receive(s, receiver)
	})
	server.Handle(transport.MethodReplicaSnapshot, func(ctx context.Context, s *transport.Stream) error {
		return receiveSnapshot(ctx, s, receiver)
	})
}

func receive(s *transport.Stream, receiver Receiver) error {
	for {
		batch := new(raftpb.MessageBatch)
		if err := s.Recv(batch); err != nil {
			return err
		}
		receiver.Receive(batch)
	}
}

func receiveSnapshot(ctx context.Context, s *transport.Stream, receiver Receiver) error {
	msg := new(raftpb.Message)
	if err := s.Recv(msg); err != nil {
		return err
	}
	if err := receiver.ReceiveSnapshot(ctx, msg, &chunkReader{stream: s}); err != nil {
		return transport.Errorf(rpcpb.Code_CODE_UNAVAILABLE, "snapshot not taken: %s", err)
	}
	return s.Send(&rpcpb.Empty{})
}

// chunkReader reads the data of a snapshot. It returns io.EOF only after the
// last chunk, so a stream that breaks off is never taken for a whole snapshot.
type chunkReader struct {
	stream *transport.Stream
	rest   []byte
	last   bool
}

// Read implements io.Reader.
func (r *chunkReader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		if r.last {
			return 0, io.EOF
		}
		chunk := new(rpcpb.SnapshotChunk)
		err := r.stream.Recv(chunk)
		if errors.Is(err, io.EOF) {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		r.rest = chunk.Data
		r.last = chunk.Last
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}
