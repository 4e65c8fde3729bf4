package main

import (
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/backendtest"
)

func flags() []cli.Flag {
	return append(commonFlags(), engineFlags()...)
}

func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"},
		&cli.StringSliceFlag{Name: "service", Usage: "run a plain service with this name instead of an engine; may be repeated"},
		&cli.StringFlag{Name: "effects", Usage: "file to which a service appends a line for each effect"},
		&cli.StringFlag{Name: "hang-marker", Usage: "a service never responds to a request that contains this text"},
		&cli.DurationFlag{Name: "delay", Usage: "time between a service's effect and its response"},
	}
}

func engineFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "models", Usage: "models loaded at start; default: the engine serves every model"},
		&cli.IntFlag{Name: "batch-limit", Usage: "maximum number of requests that are decoded together"},
		&cli.IntFlag{Name: "queue-limit", Usage: "maximum number of waiting requests; beyond it the engine refuses requests with status 529"},
		&cli.FloatFlag{Name: "decode-rate", Usage: "decoded tokens per second of one running request"},
		&cli.FloatFlag{Name: "prefill-rate", Usage: "prefilled tokens per second of the whole engine"},
		&cli.FloatFlag{Name: "speed", Value: 1, Usage: "factor by which both rates are multiplied"},
		&cli.IntFlag{Name: "cache-tokens", Usage: "capacity of the prefix cache in tokens"},
		&cli.DurationFlag{Name: "cache-event-delay", Usage: "delay after which a cache event becomes visible"},
		&cli.IntFlag{Name: "cache-event-gap-every", Usage: "drop every n-th cache event"},
		&cli.DurationFlag{Name: "load-lag", Usage: "interval between load snapshots"},
		&cli.BoolFlag{Name: "check-fencing", Usage: "refuse requests with outdated fencing tokens"},
		&cli.StringFlag{Name: "crash-marker", Usage: "a request that contains this text crashes the engine"},
		&cli.StringFlag{Name: "silent-marker", Usage: "a request that contains this text never gets a response"},
		&cli.StringFlag{Name: "stall-marker", Usage: "the first stream of a request that contains this text stalls"},
	}
}

func engineOptions(cmd *cli.Command, logger hclog.Logger) backendtest.Options {
	return backendtest.Options{
		Listen:             cmd.String("listen"),
		Models:             cmd.StringSlice("models"),
		BatchLimit:         cmd.Int("batch-limit"),
		QueueLimit:         cmd.Int("queue-limit"),
		DecodeRate:         cmd.Float("decode-rate"),
		PrefillRate:        cmd.Float("prefill-rate"),
		Speed:              cmd.Float("speed"),
		CacheTokens:        cmd.Int("cache-tokens"),
		CacheEventDelay:    cmd.Duration("cache-event-delay"),
		CacheEventGapEvery: cmd.Int("cache-event-gap-every"),
		LoadLag:            cmd.Duration("load-lag"),
		CheckFencing:       cmd.Bool("check-fencing"),
		CrashMarker:        cmd.String("crash-marker"),
		SilentMarker:       cmd.String("silent-marker"),
		StallMarker:        cmd.String("stall-marker"),
		OnCrash:            func() { os.Exit(crashExitCode) },
		Logger:             logger,
	}
}

func serviceOptions(cmd *cli.Command) backendtest.ServiceOptions {
	return backendtest.ServiceOptions{
		Listen:      cmd.String("listen"),
		Names:       cmd.StringSlice("service"),
		EffectsFile: cmd.String("effects"),
		HangMarker:  cmd.String("hang-marker"),
		Delay:       cmd.Duration("delay"),
	}
}
