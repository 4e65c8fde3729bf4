package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"ibistray.example/ibistray/internal/fleet"
)

// Kinds of notices, a label of metrics.
const (
	noticeLeaving      = "leaving"
	noticeLimit        = "limit"
	noticeLimitInvalid = "limit_invalid"
)

// serverStart identifies one start of a backend server. A server that starts anew under the
// same ID or address is another one.
type serverStart struct {
	id, address string
	startUnixMs int64
}

func startOf(server *fleet.Instance) serverStart {
	return serverStart{id: server.ID, address: server.Address, startUnixMs: server.StartUnixMs}
}

// noticeLog logs when a backend server changes what it says about itself. It is safe for
// concurrent use.
type noticeLog struct {
	log     hclog.Logger
	notices *prometheus.CounterVec

	mu     sync.Mutex
	latest map[serverStart]ServerNotice
}

func newNoticeLog(log hclog.Logger, notices *prometheus.CounterVec) *noticeLog {
	return &noticeLog{log: log, notices: notices, latest: make(map[serverStart]ServerNotice)}
}

// record counts a notice and logs it if it differs from the one before.
func (l *noticeLog) record(server *fleet.Instance, notice ServerNotice) {
	if notice.Leaving {
		l.notices.WithLabelValues(noticeLeaving).Inc()
	}
	switch notice.Limit {
	case LimitNamed:
		l.notices.WithLabelValues(noticeLimit).Inc()
	case LimitInvalid:
		l.notices.WithLabelValues(noticeLimitInvalid).Inc()
	}
	start := startOf(server)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latest[start] == notice {
		return
	}
	if notice == (ServerNotice{}) {
		delete(l.latest, start)
	} else {
		l.latest[start] = notice
	}
	l.log.Info("backend server said", "server", server.ID, "service", server.Service, "address", server.Address, "born", server.StartUnixMs,
		"leaving", notice.Leaving, "limited", notice.Limit == LimitNamed, "requests_per_second", notice.RequestsPerSecond, "malformed", notice.Limit == LimitInvalid)
}

// prune removes the servers that are not known any more.
func (l *noticeLog) prune(known map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for start := range l.latest {
		if !known[start.id] {
			delete(l.latest, start)
		}
	}
}

// observeHeader reads the notices in the header of a response. Only a response to this
// request, from the server that was asked for it, speaks for that server: another one that
// took over its address answers 421. An interim response without a request ID counts once
// the final one has shown whose it is.
func (c *call) observeHeader(status int, header http.Header) {
	meta := c.g.cfg.Codec.DecodeResponse(status, header)
	interim := status < http.StatusOK
	notice := c.g.cfg.Codec.DecodeNotice(header)
	if meta.RequestID != c.meta.ID || status == http.StatusMisdirectedRequest {
		c.interimLeaving = c.interimLeaving || interim && notice.Leaving
		return
	}
	if interim && notice.Limit == LimitAbsent {
		notice.Limit = LimitInvalid // the final response says whether there is a limit
	}
	notice.Leaving = notice.Leaving || c.interimLeaving
	c.g.observe(c.server, notice, time.Now())
}

// observe handles a notice of a server.
func (g *Gateway) observe(server *fleet.Instance, notice ServerNotice, _ time.Time) {
	g.notices.record(server, notice)
}
