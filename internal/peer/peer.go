// Package peer carries the Raft messages and snapshots of the replicated log between
// the processes that hold replicas. The messages of all groups share one stream for
// each direction between two processes; each snapshot has a stream of its own.
package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/raftpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	// maxQueuedBatches limits the batches that wait to be sent to one peer. Further
	// ones are dropped; Raft sends lost messages again.
	maxQueuedBatches   = 256
	reconnectDelay     = 100 * time.Millisecond
	sendTimeout        = 2 * time.Second
	snapshotChunkBytes = 256 << 10
)

// Receiver handles the messages and snapshots that peers send.
type Receiver interface {
	// Receive handles a batch of messages.
	Receive(batch *raftpb.MessageBatch)
	// ReceiveSnapshot stores the snapshot that msg announces; data holds its content.
	// It returns nil only after the snapshot is durable.
	ReceiveSnapshot(ctx context.Context, msg *raftpb.Message, data io.Reader) error
}

// Transport sends messages and snapshots to the other processes that hold replicas.
// It is safe for concurrent use.
type Transport struct {
	pool *transport.Pool
	log  hclog.Logger

	mu     sync.Mutex
	queues map[string]chan *raftpb.MessageBatch // outgoing batches by peer address
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

var _ replica.Transport = (*Transport)(nil)

// New returns a transport that opens its streams on the sessions of pool.
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

// Close drops the queued batches and returns when all senders have stopped.
func (t *Transport) Close() {
	t.cancel()
	t.wg.Wait()
}

// Send implements replica.Transport. It never blocks: a batch that finds the queue of
// its peer full is dropped.
func (t *Transport) Send(address string, batch *raftpb.MessageBatch) {
	select {
	case t.queueTo(address) <- batch:
	default:
	}
}

// queueTo returns the queue of a peer. The first call for an address creates the
// queue and starts its sender.
func (t *Transport) queueTo(address string) chan<- *raftpb.MessageBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	q, ok := t.queues[address]
	if !ok {
		q = make(chan *raftpb.MessageBatch, maxQueuedBatches)
		t.queues[address] = q
		t.wg.Go(func() {
			panics.Restart(t.ctx, t.log, "peer", func(context.Context) { t.runSender(address, q) })
		})
	}
	return q
}

// runSender sends the batches of one peer in order until the transport is closed.
// Batches that are queued while the peer is unreachable are dropped.
func (t *Transport) runSender(address string, queue <-chan *raftpb.MessageBatch) {
	for t.ctx.Err() == nil {
		err := t.sendUntilError(address, queue)
		if t.ctx.Err() != nil {
			return
		}
		t.log.Debug("peer connection ended", "peer", address, "error", err)
		t.pool.CloseSession(address)
		t.waitBeforeReconnect(queue)
	}
}

// sendUntilError opens a stream to a peer and sends its batches until the stream fails
// or the transport is closed.
func (t *Transport) sendUntilError(address string, queue <-chan *raftpb.MessageBatch) error {
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

// waitBeforeReconnect waits for reconnectDelay and discards the batches that are queued
// meanwhile.
func (t *Transport) waitBeforeReconnect(queue <-chan *raftpb.MessageBatch) {
	timer := time.NewTimer(reconnectDelay)
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

// SendSnapshot implements replica.Transport. It returns nil when the peer has
// confirmed that the snapshot is durable there.
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

// sendChunks sends data in chunks; the last one is marked and may be empty.
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

// Register adds the methods that receive messages and snapshots from peers to a server.
func Register(server *transport.Server, receiver Receiver) {
	server.Handle(transport.MethodReplicaMessages, func(_ context.Context, s *transport.Stream) error {
		return receiveMessages(s, receiver)
	})
	server.Handle(transport.MethodReplicaSnapshot, func(ctx context.Context, s *transport.Stream) error {
		return receiveSnapshot(ctx, s, receiver)
	})
}

func receiveMessages(stream *transport.Stream, receiver Receiver) error {
	for {
		batch := new(raftpb.MessageBatch)
		if err := stream.Recv(batch); err != nil {
			return err
		}
		receiver.Receive(batch)
	}
}

func receiveSnapshot(ctx context.Context, stream *transport.Stream, receiver Receiver) error {
	msg := new(raftpb.Message)
	if err := stream.Recv(msg); err != nil {
		return err
	}
	if err := receiver.ReceiveSnapshot(ctx, msg, &chunkReader{stream: stream}); err != nil {
		return transport.Errorf(rpcpb.Code_CODE_UNAVAILABLE, "snapshot not stored: %s", err)
	}
	return stream.Send(&rpcpb.Empty{})
}

// chunkReader reads the data of a snapshot from a stream. It returns io.EOF only after
// the chunk that is marked as the last one, so that an interrupted transfer is never
// accepted as a complete snapshot.
type chunkReader struct {
	stream   *transport.Stream
	unread   []byte // of the current chunk
	lastSeen bool   // the current chunk is the last one
}

// Read implements io.Reader.
func (r *chunkReader) Read(p []byte) (int, error) {
	for len(r.unread) == 0 {
		if r.lastSeen {
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
		r.unread = chunk.Data
		r.lastSeen = chunk.Last
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}
