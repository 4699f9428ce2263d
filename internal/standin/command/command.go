// Package command is the command line of the stand-ins.
package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/buckthorndock/buckthorndock/internal/standin"
)

// listeningLine is the first line on the standard output, for scripts.
const listeningLine = "listening address=%s\n"

// New returns the command line; what it prints goes to out.
func New(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "small stand-ins of model engines, plain services and the platform, for tests and demos",
		Description: "Each prints 'listening address=IP:PORT' first and ends at SIGTERM.\n" +
			"Faults are switched by POST /standin/fault {\"kind\":\"slow\",\"on\":true,\"ms\":50};\n" +
			"GET /standin/faults lists them, GET /standin/witness tells what was run.",
		Writer:                out,
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			engineCommand(out),
			serviceCommand(out),
			logCommand(out),
			hostsCommand(out),
			weightsCommand(out),
			siteCommand(out),
		},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP:port to listen at; port 0 takes a free one"}
}

// serve runs a stand-in until the context ends.
func serve(ctx context.Context, c *cli.Command, out io.Writer, h http.Handler) error {
	s, err := standin.Listen(c.String("listen"), h)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, listeningLine, s.Address); err != nil {
		s.Close()
		return err
	}
	<-ctx.Done()
	s.Shutdown()
	return nil
}

func engineCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "a model engine with continuous batching",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Value: "engine", Usage: "name in log lines"},
			&cli.StringSliceFlag{Name: "model", Usage: "model that is loaded from the start, `NAME[@VERSION]`; repeatable"},
			&cli.StringFlag{Name: "role", Usage: "role that is reported until an order changes it"},
			&cli.Int64Flag{Name: "memory-tokens", Value: standin.DefaultMemoryTokens, Usage: "KV memory"},
			&cli.FloatFlag{Name: "prefill-tps", Value: standin.DefaultPrefillTPS, Usage: "prompt tokens computed a second"},
			&cli.DurationFlag{Name: "decode-step", Value: standin.DefaultDecodeStep, Usage: "time for one token of each stream"},
			&cli.IntFlag{Name: "batch", Value: standin.DefaultBatch, Usage: "requests that run at a time"},
			&cli.IntFlag{Name: "chunk-tokens", Value: standin.DefaultChunkTokens, Usage: "prompt tokens of one step"},
			&cli.IntFlag{Name: "block-tokens", Value: standin.DefaultBlockTokens, Usage: "tokens of a prefix block"},
			&cli.Int64Flag{Name: "cache-tokens", Usage: "most that the prefix cache keeps; 0: all free memory"},
			&cli.DurationFlag{Name: "event-delay", Usage: "how late cache events show"},
			&cli.DurationFlag{Name: "load-lag", Usage: "how old load reports are"},
			&cli.DurationFlag{Name: "load-time", Value: standin.DefaultLoadTime, Usage: "time to load a model or adapter"},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse orders with an old fencing number"},
			&cli.FloatFlag{Name: "time-scale", Value: 1, Usage: "engine seconds in a real second, for steps and loads"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c, out, standin.NewEngine(engineOptions(c)))
		},
	}
}

func engineOptions(c *cli.Command) standin.EngineOptions {
	return standin.EngineOptions{
		Name:          c.String("name"),
		Models:        c.StringSlice("model"),
		Role:          c.String("role"),
		MemoryTokens:  c.Int64("memory-tokens"),
		PrefillTPS:    c.Float("prefill-tps"),
		DecodeStep:    c.Duration("decode-step"),
		Batch:         c.Int("batch"),
		ChunkTokens:   c.Int("chunk-tokens"),
		BlockTokens:   c.Int("block-tokens"),
		CacheTokens:   c.Int64("cache-tokens"),
		EventDelay:    c.Duration("event-delay"),
		LoadLag:       c.Duration("load-lag"),
		LoadTime:      c.Duration("load-time"),
		ChecksFencing: c.Bool("checks-fencing"),
		TimeScale:     c.Float("time-scale"),
		Exit:          os.Exit,
	}
}

func serviceCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "a plain service",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Value: "service", Usage: "name in answers"},
			&cli.StringSliceFlag{Name: "operation", Usage: "operation that it has; repeatable"},
			&cli.DurationFlag{Name: "latency", Value: 5 * time.Millisecond, Usage: "time of each call"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c, out, standin.NewService(standin.ServiceOptions{
				Name:       c.String("name"),
				Operations: c.StringSlice("operation"),
				Latency:    c.Duration("latency"),
				Exit:       os.Exit,
			}))
		},
	}
}

func logCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "log",
		Usage: "the append-only log",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "retention", Value: standin.DefaultRetention, Usage: "age at which records are dropped"},
			&cli.IntFlag{Name: "retention-records", Value: standin.DefaultRetentionRecords, Usage: "records kept per stream"},
			&cli.FloatFlag{Name: "append-rate", Value: standin.DefaultAppendRate, Usage: "appends a second; more wait up to a second"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c, out, standin.NewLog(standin.LogOptions{
				Retention:        c.Duration("retention"),
				RetentionRecords: c.Int("retention-records"),
				AppendRate:       c.Float("append-rate"),
				Exit:             os.Exit,
			}))
		},
	}
}

func hostsCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "hosts",
		Usage: "the lagging list of hosts; POST /standin/hosts replaces it",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "lag", Usage: "how late a change shows"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c, out, standin.NewHosts(standin.HostsOptions{Lag: c.Duration("lag"), Exit: os.Exit}))
		},
	}
}

func weightsCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "weights",
		Usage: "the rate-limited weight store",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.FloatFlag{Name: "permit-rate", Value: standin.DefaultPermitRate, Usage: "loads that may start a second"},
			&cli.IntFlag{Name: "burst", Value: 1, Usage: "loads that may start at once after a rest"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c, out, standin.NewWeights(standin.WeightsOptions{
				PermitRate: c.Float("permit-rate"),
				Burst:      c.Int("burst"),
				Exit:       os.Exit,
			}))
		},
	}
}
