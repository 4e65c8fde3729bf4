package daemon

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

type healthResponse struct {
	Status string `json:"status"`
}

// registerHealth adds the routes /metrics, /healthz (the process runs) and /readyz (it
// accepts new work).
func (d *Daemon) registerHealth() {
	metrics := promhttp.HandlerFor(d.metrics.Registry, promhttp.HandlerOpts{})
	d.http.GET("/metrics", adaptor.HertzHandler(metrics))
	d.http.GET("/healthz", func(_ context.Context, rc *app.RequestContext) {
		rc.JSON(consts.StatusOK, healthResponse{Status: "ok"})
	})
	d.http.GET("/readyz", func(_ context.Context, rc *app.RequestContext) {
		if d.entry != nil && !d.entry.Ready() {
			rc.JSON(consts.StatusServiceUnavailable, healthResponse{Status: "not ready"})
			return
		}
		rc.JSON(consts.StatusOK, healthResponse{Status: "ready"})
	})
}
