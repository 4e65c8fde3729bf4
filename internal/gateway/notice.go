package gateway

import (
	"net/http"
	"time"

	"ibistray.example/ibistray/internal/clock"
	"ibistray.example/ibistray/internal/fleet"
)

// Kinds of notices, a label of metrics.
const (
	noticeLeaving      = "leaving"
	noticeLimit        = "limit"
	noticeLimitInvalid = "limit_invalid"
)

// limitRefreshInterval is the age at which a limit that is named again is stored again.
const limitRefreshInterval = time.Second

// serverStart identifies one start of a backend server. A server that starts anew under the
// same ID or address is another one.
type serverStart struct {
	id, address string
	startUnixMs int64
}

func startOf(server *fleet.Instance) serverStart {
	return serverStart{id: server.ID, address: server.Address, startUnixMs: server.StartUnixMs}
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
	c.g.observe(c.server, notice)
}

// observe stores a notice of a server and tells the state hosts if it is news.
func (g *Gateway) observe(server *fleet.Instance, notice ServerNotice) {
	g.countNotice(notice)
	news := fleet.Notice{ID: server.ID, Address: server.Address, StartUnixMs: server.StartUnixMs, Source: g.cfg.Name}
	if latest := g.view.latest(server); latest != nil {
		server, news.Leaving = latest, notice.Leaving
	}
	if notice.Limit == LimitNamed || notice.Limit == LimitAbsent && server.Limit != nil {
		news.Limit = &fleet.Limit{
			Named: notice.Limit == LimitNamed, RequestsPerSecond: notice.RequestsPerSecond, ReceivedAt: clock.SinceBoot(), Source: g.cfg.Name,
		}
	}
	if !news.Leaving && (news.Limit == nil || !isNews(server.Limit, news.Limit)) {
		return
	}
	if g.view.note(news) {
		g.log.Info("backend server said", "server", server.ID, "service", server.Service, "address", server.Address, "born", server.StartUnixMs,
			"leaving", news.Leaving, "limited", notice.Limit == LimitNamed, "requests_per_second", notice.RequestsPerSecond)
		g.noticeReporter.add(news)
	}
}

// isNews reports whether a limit differs from the known one, or is so much later that the
// known one must be refreshed.
func isNews(known, limit *fleet.Limit) bool {
	return known == nil || known.Named != limit.Named || known.RequestsPerSecond != limit.RequestsPerSecond ||
		limit.ReceivedAt-known.ReceivedAt > limitRefreshInterval
}

func (g *Gateway) countNotice(notice ServerNotice) {
	if notice.Leaving {
		g.metrics.ServerNotices.WithLabelValues(noticeLeaving).Inc()
	}
	switch notice.Limit {
	case LimitNamed:
		g.metrics.ServerNotices.WithLabelValues(noticeLimit).Inc()
	case LimitInvalid:
		g.metrics.ServerNotices.WithLabelValues(noticeLimitInvalid).Inc()
	}
}
