package scenarios

import (
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdFault turns a fault of a stand-in on (default) or off: fault NAME KIND [on|off] [KEY=VALUE...].
func cmdFault(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "fault NAME KIND [on|off] [KEY=VALUE...]")
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

// cmdCut cuts a daemon off from the peers in the named hosts and domains; without
// names it ends the cut: cut DAEMON [NAME...].
func cmdCut(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "cut DAEMON [NAME...]")
	p := siteOf(ts).process(ts, args[0])
	ts.Check(post(p.address, "/test-faults/cut?from="+strings.Join(args[1:], ","), struct{}{}))
}

// cmdPartition makes a daemon's connections to all upstreams fail, as netfault.Fault describes;
// none ends that: partition DAEMON hang|reset|refuse|none.
func cmdPartition(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "partition DAEMON hang|reset|refuse|none")
	fault := args[1]
	if fault == "none" {
		fault = ""
	}
	ts.Check(post(siteOf(ts).process(ts, args[0]).address, "/test-faults/upstreams?fault="+fault, struct{}{}))
}

// cmdSilence makes a daemon's open peer connections silent permanently: silence
// DAEMON.
func cmdSilence(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "silence DAEMON")
	ts.Check(post(siteOf(ts).process(ts, args[0]).address, "/test-faults/silence", struct{}{}))
}

// cmdHold blocks the dispatches of a daemon at a stage; off lets them continue: hold DAEMON connected|permitted|off.
func cmdHold(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "hold DAEMON connected|permitted|off")
	at := args[1]
	if at == "off" {
		at = ""
	}
	ts.Check(post(siteOf(ts).process(ts, args[0]).address, "/test-faults/hold?at="+at, struct{}{}))
}

// cmdGarbage appends an invalid record to a stream of the log: garbage LOG
// STREAM.
func cmdGarbage(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "garbage LOG STREAM")
	body := map[string][][]byte{"records": {[]byte("\x00garbage")}}
	ts.Check(post(siteOf(ts).process(ts, args[0]).address, "/v1/streams/"+args[1]+"/records", body))
}

// cmdHosts sets the platform's host list to the started daemons, engines and
// services, with the given states:
// hosts [NAME=leaving|gone...].
func cmdHosts(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 0, "hosts [NAME=leaving|gone...]")
	s := siteOf(ts)
	states := map[string]string{}
	for _, a := range args {
		name, state, _ := strings.Cut(a, "=")
		states[name] = state
	}
	entries := []hostEntry{}
	for _, name := range s.order {
		p := s.processes[name]
		e := hostEntry{Name: name, Domain: p.domain, Region: region, State: "live"}
		switch {
		case states[name] == "gone":
			continue
		case p.kind == kindDaemon:
			e.Kind, e.Address = "entry", p.peer
		case p.kind == "engine", p.kind == "service":
			e.Kind, e.Address = "upstream", p.address
		default:
			continue
		}
		if states[name] != "" {
			e.State = states[name]
		}
		entries = append(entries, e)
	}
	ts.Check(post(s.process(ts, "hosts").address, "/standin/hosts", entries))
}

// hostEntry is one entry of the platform's host list, as in api/platform.yaml.
type hostEntry struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Address string `json:"address"`
	State   string `json:"state"`
}
