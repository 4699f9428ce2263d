package scenarios

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/buckthorndock/buckthorndock/internal/standin/answer"
)

// need stops the script unless it gives at least n arguments.
func need(ts *testscript.TestScript, neg bool, args []string, n int, use string) {
	if neg || len(args) < n {
		ts.Fatalf("usage: %s", use)
	}
}

// cmdStart starts a process and sets $NAME to its address:
//
//	start NAME engine|service|log|hosts|weights [FLAG...]
//	start NAME daemon DOMAIN [KEY=VALUE...] [log|hosts|weights=NAME]
func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "start NAME KIND [ARG...]")
	s := siteOf(ts)
	p := &process{name: args[0], kind: args[1], logFile: filepath.Join(s.dir, args[0]+".log")}
	if old := s.processes[p.name]; old != nil {
		ts.Fatalf("%s is there already", p.name)
	}
	if p.kind == kindDaemon {
		need(ts, neg, args, 3, "start NAME daemon DOMAIN [KEY=VALUE...]")
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

// cmdRestart starts an ended process again at its old address: restart NAME.
func cmdRestart(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "restart NAME")
	p := siteOf(ts).process(ts, args[0])
	if p.running() {
		ts.Fatalf("%s still runs", p.name)
	}
	if p.kind != kindDaemon {
		p.args[2] = p.address
	}
	ts.Check(p.launch())
}

// cmdEnd kills processes at once (kill is a command of testscript itself): end NAME...
func cmdEnd(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "end NAME...")
	for _, name := range args {
		siteOf(ts).process(ts, name).end()
	}
}

// cmdFreeze stops processes without ending them: freeze NAME...
func cmdFreeze(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "freeze NAME...")
	for _, name := range args {
		ts.Check(siteOf(ts).process(ts, name).signal(syscall.SIGSTOP))
	}
}

// cmdResume lets frozen processes go on: resume NAME...
func cmdResume(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "resume NAME...")
	for _, name := range args {
		ts.Check(siteOf(ts).process(ts, name).signal(syscall.SIGCONT))
	}
}

// cmdLeave asks processes to shut down and does not wait: leave NAME...
func cmdLeave(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "leave NAME...")
	for _, name := range args {
		ts.Check(siteOf(ts).process(ts, name).signal(syscall.SIGTERM))
	}
}

// cmdExited waits until a process has ended with a code: exited NAME CODE.
func cmdExited(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "exited NAME CODE")
	p := siteOf(ts).process(ts, args[0])
	ts.Check(p.waitExit())
	if got := strconv.Itoa(p.state.ExitCode()); got != args[1] {
		ts.Fatalf("%s exited with %s, not %s", p.name, got, args[1])
	}
}

// cmdShutdown asks processes to shut down and waits for a clean end (stop is a
// command of testscript itself): shutdown NAME...
func cmdShutdown(ts *testscript.TestScript, neg bool, args []string) {
	cmdLeave(ts, neg, args)
	for _, name := range args {
		cmdExited(ts, neg, []string{name, "0"})
	}
}

// hostEntry is one entry of the platform's list, as api/platform.yaml has it.
type hostEntry struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// cmdHosts tells the platform's list of the daemons, engines and services:
// hosts [NAME=leaving|gone...].
func cmdHosts(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 0, "hosts [NAME=leaving|gone...]")
	s := siteOf(ts)
	said := map[string]string{}
	for _, a := range args {
		name, state, _ := strings.Cut(a, "=")
		said[name] = state
	}
	entries := []hostEntry{}
	for _, name := range s.order {
		p := s.processes[name]
		e := hostEntry{Name: name, Domain: p.domain, Region: region, State: "live"}
		switch {
		case said[name] == "gone":
			continue
		case p.kind == kindDaemon:
			e.Kind, e.Address = "entry", p.peer
		case p.kind == "engine", p.kind == "service":
			e.Kind, e.Address = "upstream", p.address
		default:
			continue
		}
		if said[name] != "" {
			e.State = said[name]
		}
		entries = append(entries, e)
	}
	ts.Check(post(s.process(ts, "hosts").address, "/standin/hosts", entries))
}

// cmdFault switches a fault of a stand-in: fault NAME KIND [on|off] [KEY=VALUE...].
func cmdFault(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "fault NAME KIND [on|off] [KEY=VALUE...]")
	body := map[string]any{"kind": args[1], "on": true}
	for _, a := range args[2:] {
		key, value, pair := strings.Cut(a, "=")
		if !pair {
			body["on"] = a == "on"
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			body[key] = n
		} else {
			body[key] = value
		}
	}
	err := post(siteOf(ts).process(ts, args[0]).address, "/standin/fault", body)
	if args[1] != "die" {
		ts.Check(err)
	}
}

// cmdPublish applies a directory of settings through a daemon, with ${NAME}
// replaced by addresses: publish DAEMON DIR.
func cmdPublish(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "publish DAEMON DIR")
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

// cmdReady waits until daemons take work, with ! until they do not: ready NAME...
func cmdReady(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, false, args, 1, "[!] ready NAME...")
	for _, name := range args {
		p := siteOf(ts).process(ts, name)
		until(ts, "ready "+name, func() error {
			resp, err := http.Get("http://" + p.address + "/readyz")
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if (resp.StatusCode == http.StatusOK) == neg {
				return fmt.Errorf("status %d", resp.StatusCode)
			}
			return nil
		})
	}
}

// run is one entry of a stand-in's witness.
type run struct {
	RequestID    string `json:"request_id"`
	Attempt      int    `json:"attempt"`
	Target       string `json:"target"`
	PromptSHA256 string `json:"prompt_sha256"`
	State        string `json:"state"`
}

type witness struct {
	Runs []run `json:"runs"`
}

// cmdRuns waits until the stand-ins together have witnessed a number of runs,
// of one state if given: runs NAME[,NAME...] [STATE] COUNT. With + behind the
// count more are fine.
func cmdRuns(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "runs NAME[,NAME...] [STATE] COUNT[+]")
	s := siteOf(ts)
	count := args[len(args)-1]
	atLeast := strings.HasSuffix(count, "+")
	want, err := strconv.Atoi(strings.TrimSuffix(count, "+"))
	ts.Check(err)
	state := ""
	if len(args) == 3 {
		state = args[1]
	}
	until(ts, strings.Join(append([]string{"runs"}, args...), " "), func() error {
		got := 0
		for _, name := range strings.Split(args[0], ",") {
			var w witness
			if err := get(s.process(ts, name).address, "/standin/witness", &w); err != nil {
				return err
			}
			for _, r := range w.Runs {
				if state == "" || r.State == state {
					got++
				}
			}
		}
		if got == want || atLeast && got >= want {
			return nil
		}
		return fmt.Errorf("got %d", got)
	})
}

// books is what an engine says holds its memory.
type books struct {
	Used         int64             `json:"memory_used_tokens"`
	Running      []json.RawMessage `json:"running"`
	Reservations []json.RawMessage `json:"reservations"`
	Exports      []json.RawMessage `json:"exports"`
}

// cmdBooks waits until nothing holds memory on the engines, with ! until
// something does on each: [!] books NAME...
func cmdBooks(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, false, args, 1, "[!] books NAME...")
	for _, name := range args {
		p := siteOf(ts).process(ts, name)
		until(ts, "books "+name, func() error {
			var b books
			if err := get(p.address, "/v1/books", &b); err != nil {
				return err
			}
			held := len(b.Running) + len(b.Reservations) + len(b.Exports)
			empty := b.Used == 0 && held == 0
			if empty == neg {
				return fmt.Errorf("%d tokens held by %d", b.Used, held)
			}
			return nil
		})
	}
}

// cmdLogged waits until a process has logged a line that matches: logged NAME
// REGEXP. With ! it looks once, and the line must not be there.
func cmdLogged(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, false, args, 2, "[!] logged NAME REGEXP")
	p := siteOf(ts).process(ts, args[0])
	re, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	found := func() error {
		text, err := os.ReadFile(p.logFile)
		if err != nil {
			return err
		}
		if !re.Match(text) {
			return fmt.Errorf("no match")
		}
		return nil
	}
	if !neg {
		until(ts, "logged "+args[0]+" "+args[1], found)
		return
	}
	if found() == nil {
		ts.Fatalf("%s has logged %s", args[0], args[1])
	}
}

// cmdStatus waits until a daemon's status, as JSON text, matches: [!] status
// DAEMON REGEXP.
func cmdStatus(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, false, args, 2, "[!] status DAEMON REGEXP")
	re, err := regexp.Compile(args[1])
	ts.Check(err)
	p := siteOf(ts).process(ts, args[0])
	until(ts, "status "+args[0]+" "+args[1], func() error {
		text, err := getText(p.address, "/operator/v1/status", operatorToken)
		if err != nil {
			return err
		}
		if re.MatchString(text) == neg {
			return fmt.Errorf("got %s", text)
		}
		return nil
	})
}

// cmdMetric waits until a metric of a daemon has a value: metric DAEMON NAME
// OP NUMBER, with OP one of == >= <=. A metric that is not there counts as 0.
func cmdMetric(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 4, "metric DAEMON NAME ==|>=|<= NUMBER")
	want, err := strconv.ParseFloat(args[3], 64)
	ts.Check(err)
	p := siteOf(ts).process(ts, args[0])
	until(ts, "metric "+strings.Join(args, " "), func() error {
		text, err := getText(p.address, "/metrics", "")
		if err != nil {
			return err
		}
		got := metricValue(text, args[1])
		switch {
		case args[2] == "==" && got == want, args[2] == ">=" && got >= want, args[2] == "<=" && got <= want:
			return nil
		}
		return fmt.Errorf("got %v", got)
	})
}

// metricValue adds up the lines of a metric, with or without labels.
func metricValue(text, name string) float64 {
	var sum float64
	for line := range strings.Lines(text) {
		rest, ok := strings.CutPrefix(line, name)
		if !ok || rest == "" || rest[0] != ' ' && rest[0] != '{' {
			continue
		}
		fields := strings.Fields(rest)
		v, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err == nil {
			sum += v
		}
	}
	return sum
}

// cmdAnswer writes the answer that an engine must give to a prompt, with chomp to
// the prompt without its last newline: answer FILE TOKENS PROMPT-FILE [chomp].
func cmdAnswer(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 3, "answer FILE TOKENS PROMPT-FILE [chomp]")
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	prompt := ts.ReadFile(args[2])
	if len(args) > 3 {
		prompt = strings.TrimSuffix(prompt, "\n")
	}
	// The command-line tool ends what it prints by a newline.
	text := answer.Whole(prompt, n) + "\n"
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// cmdPromptOf writes a prompt of a number of tokens: promptof FILE TOKENS [WORD].
func cmdPromptOf(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "promptof FILE TOKENS [WORD]")
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

// cmdNap lets time pass where a scenario is about something that must not
// happen meanwhile: nap DURATION.
func cmdNap(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "nap DURATION")
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// httpClient bounds each look at a process, which may be frozen.
var httpClient = &http.Client{Timeout: 2 * time.Second}

func post(address, path string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	resp, err := httpClient.Post("http://"+address+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("POST %s: status %d", path, resp.StatusCode)
	}
	return nil
}

func get(address, path string, into any) error {
	text, err := getText(address, path, "")
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(text), into)
}

func getText(address, path, token string) (string, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return "", err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(resp.Body); err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("GET %s: status %d", path, resp.StatusCode)
	}
	return b.String(), nil
}

// cmdGarbage appends a record that is nothing to a stream of the log: garbage
// LOG STREAM.
func cmdGarbage(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "garbage LOG STREAM")
	body := map[string][][]byte{"records": {[]byte("\x00garbage")}}
	ts.Check(post(siteOf(ts).process(ts, args[0]).address, "/v1/streams/"+args[1]+"/records", body))
}

// cmdFetch waits until what a stand-in answers to a GET matches: [!] fetch NAME
// PATH REGEXP.
func cmdFetch(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, false, args, 3, "[!] fetch NAME PATH REGEXP")
	re, err := regexp.Compile(args[2])
	ts.Check(err)
	p := siteOf(ts).process(ts, args[0])
	until(ts, "fetch "+strings.Join(args, " "), func() error {
		text, err := getText(p.address, args[1], "")
		if err != nil {
			return err
		}
		if re.MatchString(text) == neg {
			return fmt.Errorf("got %s", text)
		}
		return nil
	})
}

// cmdCut cuts a daemon off from the peers in the named hosts and domains; without
// names it heals: cut DAEMON [NAME...].
func cmdCut(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "cut DAEMON [NAME...]")
	p := siteOf(ts).process(ts, args[0])
	ts.Check(post(p.address, "/test-faults/cut?from="+strings.Join(args[1:], ","), struct{}{}))
}

// cmdSilence makes a daemon's open peer connections silent for good: silence
// DAEMON.
func cmdSilence(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "silence DAEMON")
	ts.Check(post(siteOf(ts).process(ts, args[0]).address, "/test-faults/silence", struct{}{}))
}

// cmdHold stops the dispatches of a daemon at a point of their way, with off lets
// them go on: hold DAEMON connected|permitted|off.
func cmdHold(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "hold DAEMON connected|permitted|off")
	at := args[1]
	if at == "off" {
		at = ""
	}
	ts.Check(post(siteOf(ts).process(ts, args[0]).address, "/test-faults/hold?at="+at, struct{}{}))
}
