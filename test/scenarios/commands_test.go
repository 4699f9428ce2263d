package scenarios

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/buckthorndock/buckthorndock/internal/standin/answer"
)

// requireArgs fails the script if a command is negated or has fewer than n
// arguments.
func requireArgs(ts *testscript.TestScript, neg bool, args []string, n int, usage string) {
	if neg || len(args) < n {
		ts.Fatalf("usage: %s", usage)
	}
}

// cmdStart starts a process and sets $NAME to its address:
//
//	start NAME engine|service|log|hosts|weights [FLAG...]
//	start NAME daemon DOMAIN [KEY=VALUE...] [log|hosts|weights=NAME]
func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "start NAME KIND [ARG...]")
	s := siteOf(ts)
	p := &process{name: args[0], kind: args[1], logFile: filepath.Join(s.dir, args[0]+".log")}
	if old := s.processes[p.name]; old != nil {
		ts.Fatalf("%s is already started", p.name)
	}
	if p.kind == kindDaemon {
		requireArgs(ts, neg, args, 3, "start NAME daemon DOMAIN [KEY=VALUE...]")
		p.domain = args[2]
		ts.Check(s.prepareDaemon(p, args[3:]))
	} else {
		p.args = append([]string{p.kind, "--listen", "127.0.0.1:0"}, args[2:]...)
		if p.kind == "engine" || p.kind == "service" {
			p.args = append(p.args, "--name", p.name)
		}
	}
	ts.Check(p.launch())
	s.processes[p.name] = p
	s.order = append(s.order, p.name)
	ts.Setenv(p.name, p.address)
	ts.Setenv(p.name+"_peer", p.peer)
}

func (s *site) prepareDaemon(p *process, extra []string) (err error) {
	if p.address, err = freeAddress(); err != nil {
		return err
	}
	if p.peer, err = freeAddress(); err != nil {
		return err
	}
	file, err := s.daemonFile(p, extra)
	p.args = []string{"--config", file}
	return err
}

// cmdRestart restarts a process that has exited, at its old address: restart NAME.
func cmdRestart(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "restart NAME")
	p := siteOf(ts).process(ts, args[0])
	if p.running() {
		ts.Fatalf("%s still runs", p.name)
	}
	if p.kind != kindDaemon {
		p.args[2] = p.address
	}
	ts.Check(p.launch())
}

// cmdEnd kills processes (kill is a command of testscript itself): end NAME...
func cmdEnd(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "end NAME...")
	for _, name := range args {
		siteOf(ts).process(ts, name).kill()
	}
}

// cmdFreeze pauses processes (SIGSTOP): freeze NAME...
func cmdFreeze(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "freeze NAME...")
	for _, name := range args {
		ts.Check(siteOf(ts).process(ts, name).signal(syscall.SIGSTOP))
	}
}

// cmdResume continues frozen processes: resume NAME...
func cmdResume(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "resume NAME...")
	for _, name := range args {
		ts.Check(siteOf(ts).process(ts, name).signal(syscall.SIGCONT))
	}
}

// cmdLeave asks processes to shut down and does not wait: leave NAME...
func cmdLeave(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "leave NAME...")
	for _, name := range args {
		ts.Check(siteOf(ts).process(ts, name).signal(syscall.SIGTERM))
	}
}

// cmdExited waits until a process has exited, and checks its exit code: exited NAME CODE.
func cmdExited(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "exited NAME CODE")
	p := siteOf(ts).process(ts, args[0])
	ts.Check(p.waitExit())
	if got := strconv.Itoa(p.state.ExitCode()); got != args[1] {
		ts.Fatalf("%s exited with %s, not %s", p.name, got, args[1])
	}
}

// cmdShutdown asks processes to shut down and waits for a clean exit (stop is a
// command of testscript itself): shutdown NAME...
func cmdShutdown(ts *testscript.TestScript, neg bool, args []string) {
	cmdLeave(ts, neg, args)
	for _, name := range args {
		cmdExited(ts, neg, []string{name, "0"})
	}
}

// cmdPublish applies a directory of settings through a daemon, with ${NAME}
// replaced by addresses: publish DAEMON DIR.
func cmdPublish(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "publish DAEMON DIR")
	s := siteOf(ts)
	from := ts.MkAbs(args[1])
	to := filepath.Join(s.dir, "published", args[1])
	ts.Check(filepath.WalkDir(from, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		return s.expandFile(path, filepath.Join(to, rel))
	}))
	ts.Check(ts.Exec("buckthorndock", "--address", s.process(ts, args[0]).address, "--token", operatorToken, "settings", "apply", to))
}

func (s *site) expandFile(from, to string) error {
	text, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	expanded := os.Expand(string(text), func(name string) string {
		if p := s.processes[name]; p != nil {
			return p.address
		}
		return "${" + name + "}"
	})
	if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
		return err
	}
	return os.WriteFile(to, []byte(expanded), 0o600)
}

// cmdAnswer writes the expected answer of an engine to a prompt, with chomp to the
// prompt without its last newline: answer FILE TOKENS PROMPT-FILE [chomp].
func cmdAnswer(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 3, "answer FILE TOKENS PROMPT-FILE [chomp]")
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	prompt := ts.ReadFile(args[2])
	if len(args) > 3 {
		prompt = strings.TrimSuffix(prompt, "\n")
	}
	// The command-line tool ends its output with a newline.
	text := answer.FullText(prompt, n) + "\n"
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// cmdPromptOf writes a prompt with a number of tokens: promptof FILE TOKENS [WORD].
func cmdPromptOf(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "promptof FILE TOKENS [WORD]")
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	word := "text"
	if len(args) > 2 {
		word = args[2]
	}
	const bytesPerToken = 4
	text := strings.Repeat(word+" ", n*bytesPerToken/(len(word)+1)+1)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text[:n*bytesPerToken]), 0o600))
}

// cmdNap sleeps, for scenarios that check that something does not happen
// meanwhile: nap DURATION.
func cmdNap(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "nap DURATION")
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}
