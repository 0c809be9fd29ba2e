package api

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
)

// Readiness is the body of /readyz.
type Readiness struct {
	Ready             bool   `json:"ready"`
	State             string `json:"state"`
	CutOff            bool   `json:"cut_off"`
	PlatformReachable bool   `json:"platform_reachable"`
	ConfigVersion     int64  `json:"config_version"`
}

func (s *Server) healthz(_ context.Context, c *app.RequestContext) {
	c.Data(http.StatusOK, "text/plain; charset=utf-8", []byte("ok\n"))
}

// readyz answers 503 while the instance starts or drains. An instance that is
// cut off stays ready, because it continues with its last known state.
func (s *Server) readyz(_ context.Context, c *app.RequestContext) {
	d := s.status.Status()
	r := Readiness{
		Ready: d.State == "ready", State: d.State, CutOff: d.CutOff,
		PlatformReachable: d.PlatformReachable, ConfigVersion: d.ConfigVersion,
	}
	code := http.StatusOK
	if !r.Ready {
		code = http.StatusServiceUnavailable
	}
	writeJSON(c, code, r)
}

func (s *Server) serveStatus(_ context.Context, c *app.RequestContext) {
	writeJSON(c, http.StatusOK, s.status.Status())
}
