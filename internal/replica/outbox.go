package replica

import (
	"sync"

	"ibistray.example/ibistray/proto/raftpb"
)

const (
	maxBatchMessages = 4096
	maxBatchBytes    = 4 << 20 // bytes of entry data
)

// outbox batches the messages of all groups by destination host. Messages that are
// queued while a batch is sent go into the next one.
type outbox struct {
	transport Transport
	metrics   *metrics
	stopped   chan struct{}

	mu          sync.Mutex
	wake        *sync.Cond
	queued      map[string][]*raftpb.Message
	closed      bool
	queuedCount int // messages in queued
}

// newOutbox returns an outbox whose goroutine calls its work with contain.
func newOutbox(transport Transport, m *metrics, contain func(func())) *outbox {
	o := &outbox{
		transport: transport,
		metrics:   m,
		stopped:   make(chan struct{}),
		queued:    make(map[string][]*raftpb.Message),
	}
	o.wake = sync.NewCond(&o.mu)
	go func() {
		defer close(o.stopped)
		contain(o.run)
	}()
	return o
}

// add queues a message. It never blocks. A message without an address is
// dropped.
func (o *outbox) add(address string, m *raftpb.Message) {
	if address == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	o.queued[address] = append(o.queued[address], m)
	o.queuedCount++
	o.wake.Signal()
}

func (o *outbox) run() {
	for queued := o.takeQueued(); queued != nil; queued = o.takeQueued() {
		for address, messages := range queued {
			o.send(address, messages)
		}
	}
}

// takeQueued waits for messages and returns them by address. It returns nil when the
// outbox is closed and empty.
func (o *outbox) takeQueued() map[string][]*raftpb.Message {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.queuedCount == 0 && !o.closed {
		o.wake.Wait()
	}
	if o.queuedCount == 0 {
		return nil
	}
	queued := o.queued
	o.queued = make(map[string][]*raftpb.Message, len(queued))
	o.queuedCount = 0
	return queued
}

func (o *outbox) send(address string, messages []*raftpb.Message) {
	for len(messages) > 0 {
		n := batchLength(messages)
		o.transport.Send(address, &raftpb.MessageBatch{Messages: messages[:n:n]})
		o.metrics.batches.Inc()
		o.metrics.messages.Add(float64(n))
		messages = messages[n:]
	}
}

// batchLength returns how many of the messages fit into one batch, at least one.
func batchLength(messages []*raftpb.Message) int {
	size := 0
	for i, m := range messages {
		for _, entry := range m.GetEntries() {
			size += len(entry.GetData())
		}
		if i == maxBatchMessages || (i > 0 && size > maxBatchBytes) {
			return i
		}
	}
	return len(messages)
}

// close sends the queued messages and stops.
func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	o.wake.Signal()
	o.mu.Unlock()
	<-o.stopped
}
