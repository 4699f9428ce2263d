// Command site starts a small site as separate processes for the demo and the load
// runs: the platform's stand-ins, an engine or a service for each upstream of the
// example settings, and daemons in the given failure domains. It writes copies of the
// examples with the real addresses, and stops all its processes on SIGINT or SIGTERM.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
)

// options holds the values of the flags.
type options struct {
	bin       string  // directory of the binaries
	examples  string  // directory of the example settings
	dir       string  // directory for files and logs of the run
	timeScale float64 // engine seconds per real second
	memory    int     // KV memory of each engine, in tokens
	lag       string  // age of load reports and delay of cache events, a duration
	cache     int     // maximum tokens in an engine's prefix cache; 0 for all free memory
	witness   bool    // engines log their executions to files
	daemons   string  // failure domain of each daemon, separated by commas
	mayEnd    string  // processes that the test kills or stops, separated by commas
}

// defaultDaemons places a daemon in each failure domain of the site. The users in the
// examples have three domains each, which are mapped to these.
const defaultDaemons = "hal-a,hal-b,hal-c"

// domainReplacer replaces the domain names of the examples by those of the site.
var domainReplacer = strings.NewReplacer("savo-niirala", "hal-a", "savo-petonen", "hal-b", "savo-saaristo", "hal-c")

const (
	region   = "be-central"
	dirPerm  = 0o755
	filePerm = 0o644
)

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "directory of the binaries")
	flag.StringVar(&o.examples, "examples", "examples", "directory of the example settings")
	flag.StringVar(&o.dir, "dir", "", "directory for files and logs of the run")
	flag.Float64Var(&o.timeScale, "time-scale", 20, "engine seconds per real second")
	flag.IntVar(&o.memory, "memory-tokens", 400_000, "KV memory of each engine, in tokens")
	flag.StringVar(&o.lag, "lag", "100ms", "age of load reports and delay of cache events")
	flag.IntVar(&o.cache, "cache-tokens", 0, "maximum tokens in an engine's prefix cache; 0 for all free memory")
	flag.BoolVar(&o.witness, "witness", false, "engines log their executions to files witness-NAME.jsonl")
	flag.StringVar(&o.daemons, "daemons", defaultDaemons, "failure domain of each daemon, separated by commas")
	flag.StringVar(&o.mayEnd, "may-end", "", "names of processes that the test kills or stops, separated by commas")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "site:", err)
		os.Exit(1)
	}
}

// run starts the site, writes the file env once it is up, and stops the site when the
// context ends or one of its processes exits.
func run(ctx context.Context, o options) (err error) {
	if err := os.MkdirAll(filepath.Join(o.dir, "logs"), dirPerm); err != nil {
		return err
	}
	s := &site{opts: o}
	defer func() {
		if stopErr := s.stop(); err == nil {
			err = stopErr
		}
	}()
	if err := s.start(ctx); err != nil {
		return err
	}
	if err := s.writeEnv(); err != nil {
		return err
	}
	fmt.Printf("site is up: %d processes\n", len(s.processes))
	return s.wait(ctx)
}
