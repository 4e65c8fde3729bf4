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
		&cli.StringSliceFlag{Name: "service", Usage: "offer the plain service with this name in place of an engine; repeat for more"},
		&cli.StringFlag{Name: "effects", Usage: "file to which a service appends each effect"},
		&cli.StringFlag{Name: "hang-marker", Usage: "a service never answers a request with this text"},
		&cli.DurationFlag{Name: "delay", Usage: "time between a service's effect and its answer"},
	}
}

func engineFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "models", Usage: "models loaded at start; none: every model is served"},
		&cli.IntFlag{Name: "batch-limit", Usage: "requests that decode together"},
		&cli.IntFlag{Name: "queue-limit", Usage: "waiting requests above which the engine answers 529"},
		&cli.FloatFlag{Name: "decode-rate", Usage: "tokens a second of one running request"},
		&cli.FloatFlag{Name: "prefill-rate", Usage: "tokens a second of the whole engine"},
		&cli.FloatFlag{Name: "speed", Value: 1, Usage: "factor on both rates"},
		&cli.IntFlag{Name: "cache-tokens", Usage: "capacity of the prefix cache"},
		&cli.DurationFlag{Name: "cache-event-delay", Usage: "age at which a cache event becomes visible"},
		&cli.IntFlag{Name: "cache-event-gap-every", Usage: "lose every n-th cache event"},
		&cli.DurationFlag{Name: "load-lag", Usage: "interval between load snapshots"},
		&cli.BoolFlag{Name: "check-fencing", Usage: "refuse old fencing numbers"},
		&cli.StringFlag{Name: "crash-marker", Usage: "a request with this text crashes the engine"},
		&cli.StringFlag{Name: "silent-marker", Usage: "a request with this text is never answered"},
		&cli.StringFlag{Name: "stall-marker", Usage: "the first stream of a request with this text goes silent"},
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
