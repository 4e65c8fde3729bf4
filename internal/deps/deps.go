//go:build deps

// Package deps keeps the versions of libraries in go.mod that are not imported yet.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cloudwego/hertz/pkg/app/client"
	_ "github.com/cloudwego/hertz/pkg/app/server"
	_ "github.com/cloudwego/hertz/pkg/protocol/sse"
	_ "github.com/goccy/go-yaml"
	_ "github.com/hashicorp/go-hclog"
	_ "github.com/hashicorp/yamux"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/qmuntal/stateless"
	_ "github.com/urfave/cli/v3"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
	_ "gotest.tools/v3/assert"
	_ "gotest.tools/v3/poll"
	_ "pgregory.net/rapid"
)
