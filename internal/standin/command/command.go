// Package command implements the command line of the stand-ins.
package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/buckthorndock/buckthorndock/internal/entrypoint"
	"github.com/buckthorndock/buckthorndock/internal/standin"
)

// listeningLine is the format of the first output line, which scripts wait for.
const listeningLine = "listening address=%s\n"

// New returns the command line, which prints to out.
func New(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "small stand-ins for model engines, plain services and the platform, for tests and demos",
		Description: "Each prints 'listening address=IP:PORT' first and ends on SIGTERM.\n" +
			"Faults are switched by POST /standin/fault {\"kind\":\"slow\",\"on\":true,\"ms\":50};\n" +
			"GET /standin/faults lists them, GET /standin/witness lists the runs.",
		Writer:                out,
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			engineCommand(out),
			serviceCommand(out),
			logCommand(out),
			hostsCommand(out),
			weightsCommand(out),
			siteCommand(out),
			controlCommand(out),
		},
	}
}

// witnessFlag is the file in which the record of runs outlives the process.
func witnessFlag() cli.Flag {
	return &cli.StringFlag{Name: "witness-file", Usage: "append each change of a run to the file, as a JSON line"}
}

// openWitness opens the file of witnessFlag, or returns nil if there is none.
func openWitness(c *cli.Command) (io.Writer, error) {
	path := c.String("witness-file")
	if path == "" {
		return nil, nil
	}
	return os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, siteFileMode)
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP:port to listen on; port 0 takes a free one"}
}

func memoryFlag() cli.Flag {
	return &cli.FloatFlag{Name: "memory-mb", Value: standin.DefaultMemoryMB, Usage: "memory that the process may use, which bounds what its clients may take"}
}

// boundsOf returns the bounds of this process by memoryFlag.
func boundsOf(c *cli.Command) *entrypoint.Bounds {
	mb := c.Float("memory-mb")
	debug.SetMemoryLimit(entrypoint.MB(mb).Share(entrypoint.HeapLimitShare))
	return standin.NewBounds(mb)
}

// serve runs a stand-in until the context ends.
func serve(ctx context.Context, c *cli.Command, out io.Writer, h http.Handler) error {
	s, err := standin.Listen(boundsOf(c), c.String("listen"), h)
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
			memoryFlag(),
			witnessFlag(),
			&cli.StringFlag{Name: "name", Value: "engine", Usage: "name in log lines"},
			&cli.StringSliceFlag{Name: "model", Usage: "model to load at the start, `NAME[@VERSION]`; repeatable"},
			&cli.StringFlag{Name: "role", Usage: "role to report until an order changes it"},
			&cli.Int64Flag{Name: "memory-tokens", Value: standin.DefaultMemoryTokens, Usage: "size of the KV memory"},
			&cli.FloatFlag{Name: "prefill-tps", Value: standin.DefaultPrefillTPS, Usage: "prompt tokens prefilled a second"},
			&cli.DurationFlag{Name: "decode-step", Value: standin.DefaultDecodeStep, Usage: "time to decode one token of each run"},
			&cli.IntFlag{Name: "batch", Value: standin.DefaultBatch, Usage: "maximum number of running requests"},
			&cli.IntFlag{Name: "chunk-tokens", Value: standin.DefaultChunkTokens, Usage: "maximum prompt tokens of one step"},
			&cli.IntFlag{Name: "block-tokens", Value: standin.DefaultBlockTokens, Usage: "tokens in a prefix block"},
			&cli.Int64Flag{Name: "cache-tokens", Usage: "maximum size of the prefix cache; 0: all free memory"},
			&cli.DurationFlag{Name: "event-delay", Usage: "delay before cache events appear"},
			&cli.DurationFlag{Name: "load-lag", Usage: "age of load reports"},
			&cli.DurationFlag{Name: "load-time", Value: standin.DefaultLoadTime, Usage: "time to load a model or adapter"},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse orders with a lower fencing number than the last"},
			&cli.FloatFlag{Name: "time-scale", Value: 1, Usage: "engine seconds in a real second, for steps and loads"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			o := engineOptions(c)
			witness, err := openWitness(c)
			if err != nil {
				return err
			}
			o.Witness = witness
			return serve(ctx, c, out, standin.NewEngine(o))
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
			memoryFlag(),
			witnessFlag(),
			&cli.StringFlag{Name: "name", Value: "service", Usage: "name in answers"},
			&cli.StringSliceFlag{Name: "operation", Usage: "operation of the service; repeatable"},
			&cli.DurationFlag{Name: "latency", Value: 5 * time.Millisecond, Usage: "duration of each call"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			witness, err := openWitness(c)
			if err != nil {
				return err
			}
			return serve(ctx, c, out, standin.NewService(standin.ServiceOptions{
				Witness:    witness,
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
			memoryFlag(),
			&cli.DurationFlag{Name: "retention", Value: standin.DefaultRetention, Usage: "age at which records are dropped"},
			&cli.IntFlag{Name: "retention-records", Value: standin.DefaultRetentionRecords, Usage: "records kept per stream"},
			&cli.FloatFlag{Name: "append-rate", Value: standin.DefaultAppendRate, Usage: "appends a second; excess appends wait up to a second"},
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
		Usage: "the list of hosts, which lags; POST /standin/hosts replaces it",
		Flags: []cli.Flag{
			listenFlag(),
			memoryFlag(),
			&cli.DurationFlag{Name: "lag", Usage: "delay before a change appears"},
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
			memoryFlag(),
			&cli.FloatFlag{Name: "permit-rate", Value: standin.DefaultPermitRate, Usage: "loads that may start a second"},
			&cli.IntFlag{Name: "burst", Value: 1, Usage: "loads that may start at once after an idle time"},
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
