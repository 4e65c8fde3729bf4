package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/inflight"
	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	// noticeCoalesceDelay combines notices in quick succession into one report.
	noticeCoalesceDelay = 20 * time.Millisecond
	// noticeAttempts limits the state hosts to which a report is sent until one accepts it.
	noticeAttempts = 4
)

// noticeReporter tells the state hosts what backend servers said about themselves. A report
// goes to one state host, which tells the others and all entries. It is safe for concurrent
// use.
type noticeReporter struct {
	entry string
	log   hclog.Logger
	// targets returns the addresses of state hosts, the most suitable first.
	targets func() []string
	send    func(ctx context.Context, address string, report *fleetpb.NoticeReport) error
	wait    *inflight.Group // reports in progress

	mu      sync.Mutex
	pending map[serverStart]fleet.Notice
}

func newNoticeReporter(entry string, log hclog.Logger, pool *transport.Pool, targets func() []string, wait *inflight.Group) *noticeReporter {
	return &noticeReporter{
		entry:   entry,
		log:     log,
		targets: targets,
		send: func(ctx context.Context, address string, report *fleetpb.NoticeReport) error {
			return pool.Call(ctx, address, transport.MethodNotices, report, new(rpcpb.Empty))
		},
		wait:    wait,
		pending: make(map[serverStart]fleet.Notice),
	}
}

// add queues a notice. It does not block.
func (r *noticeReporter) add(notice fleet.Notice) {
	start := serverStart{id: notice.ID, address: notice.Address, startUnixMs: notice.StartUnixMs}
	r.mu.Lock()
	defer r.mu.Unlock()
	if earlier, found := r.pending[start]; found {
		notice.Leaving = notice.Leaving || earlier.Leaving
		if notice.Limit == nil {
			notice.Limit = earlier.Limit
		}
	}
	r.pending[start] = notice
	if len(r.pending) == 1 {
		r.wait.Go(func() { _ = panics.Contain(r.log, "notices", r.report) })
	}
}

// report sends the pending notices after noticeCoalesceDelay to the first state host that
// accepts them.
func (r *noticeReporter) report() {
	time.Sleep(noticeCoalesceDelay)
	report := &fleetpb.NoticeReport{Source: r.entry}
	r.mu.Lock()
	for start, notice := range r.pending {
		report.Notices = append(report.Notices, fleet.NoticeToProto(notice))
		delete(r.pending, start)
	}
	r.mu.Unlock()
	targets := r.targets()
	err := errors.New("gateway: no state host is known")
	for _, address := range targets[:min(len(targets), noticeAttempts)] {
		if err = r.sendOnce(address, report); err == nil {
			return
		}
	}
	r.log.Warn("notices of backend servers not delivered", "notices", len(report.Notices), "error", err)
}

func (r *noticeReporter) sendOnce(address string, report *fleetpb.NoticeReport) error {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	return r.send(ctx, address, report)
}

// noticeTargets returns the state hosts with contact to a quorum in random order, and then
// the others.
func (v *view) noticeTargets() []string {
	hosts := v.stateHosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return v.watched.servingFirst(hosts, time.Now())
}
