package replica_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/proto/raftpb"
)

const linkDelay = time.Millisecond // one way

var errCut = errors.New("network: link is cut")

type link struct{ from, to string }

// network connects hosts in memory with a delay of linkDelay. Links can be cut in one
// direction.
type network struct {
	mu    sync.Mutex
	hosts map[string]*replica.Host
	cuts  map[link]bool

	messages        atomic.Int64
	bytes           atomic.Int64
	snapshots       atomic.Int64
	groupMessages   atomic.Int64 // messages that belong to a group
	identityReplies atomic.Int64 // identity replies of initial members
}

func newNetwork() *network {
	return &network{hosts: make(map[string]*replica.Host), cuts: make(map[link]bool)}
}

func (n *network) attach(address string, host *replica.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = host
}

func (n *network) detach(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, address)
}

func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link{from, to}] = cut
}

// isolate cuts or restores the links between a host and the others, by direction.
func (n *network) isolate(address string, others []string, cutOutgoing, cutIncoming bool) {
	for _, other := range others {
		if other != address {
			n.setCut(address, other, cutOutgoing)
			n.setCut(other, address, cutIncoming)
		}
	}
}

// receiver returns the receiving host, or nil if the link is cut or an end is detached.
func (n *network) receiver(from, to string) *replica.Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[link{from, to}] || n.hosts[from] == nil {
		return nil
	}
	return n.hosts[to]
}

// endpoint is the transport of one host.
type endpoint struct {
	network *network
	address string
	stopped atomic.Bool // the process has ended
}

func (e *endpoint) Send(to string, batch *raftpb.MessageBatch) {
	if e.stopped.Load() {
		return
	}
	data, err := proto.Marshal(batch)
	if err != nil {
		panic(err)
	}
	e.network.messages.Add(int64(len(batch.GetMessages())))
	e.network.bytes.Add(int64(len(data)))
	time.AfterFunc(linkDelay, func() { e.deliver(to, data) })
}

func (e *endpoint) deliver(to string, data []byte) {
	host := e.network.receiver(e.address, to)
	if host == nil {
		return
	}
	batch := new(raftpb.MessageBatch)
	if err := proto.Unmarshal(data, batch); err != nil {
		panic(err)
	}
	for _, m := range batch.GetMessages() {
		if m.GetGroup() != 0 {
			e.network.groupMessages.Add(1)
		}
		if m.GetKind() == replica.KindIdentityReply {
			e.network.identityReplies.Add(1)
		}
	}
	host.Receive(batch)
}

func (e *endpoint) SendSnapshot(ctx context.Context, to string, msg *raftpb.Message, data io.Reader) error {
	content, err := io.ReadAll(data)
	if err != nil {
		return err
	}
	time.Sleep(linkDelay)
	host := e.network.receiver(e.address, to)
	if host == nil || e.stopped.Load() {
		return errCut
	}
	e.network.snapshots.Add(1)
	return host.ReceiveSnapshot(ctx, proto.CloneOf(msg), bytes.NewReader(content))
}
