// Command site starts a small site as separate processes for the demo and the
// load runs: the platform's stand-ins, an engine or a service for each upstream
// of the example settings, and one daemon in each failure domain. It writes
// copies of the examples with the real addresses, and stops all that it started
// when it is told to.
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

// options are the flags of the program.
type options struct {
	bin       string  // directory of the programs
	examples  string  // directory of the example settings
	dir       string  // where files and logs of the run go
	timeScale float64 // engine seconds in a real second
	memory    int     // tokens of each engine
	lag       string  // how old load reports and cache events are
	cache     int     // most tokens that an engine's prefix cache keeps; zero: all free memory
	witness   bool    // engines write what they ran
	daemons   string  // failure domain of each daemon
	mayEnd    string  // processes that the run ends or stops itself
}

// defaultDaemons has a daemon in each failure domain of the examples. The
// examples' users have three domains each, which share these.
const defaultDaemons = "hal-a,hal-b,hal-c"

// domainReplacer maps the domains of the examples to those of the site.
var domainReplacer = strings.NewReplacer("savo-niirala", "hal-a", "savo-petonen", "hal-b", "savo-saaristo", "hal-c")

const (
	region   = "be-central"
	dirPerm  = 0o755
	filePerm = 0o644
)

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "directory of the programs")
	flag.StringVar(&o.examples, "examples", "examples", "directory of the example settings")
	flag.StringVar(&o.dir, "dir", "", "directory for files and logs of the run")
	flag.Float64Var(&o.timeScale, "time-scale", 20, "engine seconds in a real second")
	flag.IntVar(&o.memory, "memory-tokens", 400_000, "KV memory of each engine")
	flag.StringVar(&o.lag, "lag", "100ms", "how old load reports and cache events are")
	flag.IntVar(&o.cache, "cache-tokens", 0, "most that an engine's prefix cache keeps; 0: all free memory")
	flag.BoolVar(&o.witness, "witness", false, "engines write what they ran to files witness-NAME.jsonl")
	flag.StringVar(&o.daemons, "daemons", defaultDaemons, "failure domain of each daemon, separated by commas")
	flag.StringVar(&o.mayEnd, "may-end", "", "names of processes that the run ends or stops itself, separated by commas")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "site:", err)
		os.Exit(1)
	}
}

// run starts the site, says that it is up by writing the file env, and stops it
// when the context ends or one of its processes does.
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
