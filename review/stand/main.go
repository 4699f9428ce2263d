// Command stand plays the platform, the servers and the clients of one case of the review, with the
// project's daemons as separate processes.
//
//	stand CASE ROOT DIRECTORY
//
// ROOT is the repository, DIRECTORY the folder of the case, which gets record.txt. With TROUBLE=0 in the
// environment the disruption is left out. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitNotPlayed = 2
)

var cases = map[string]func(e *environment) (broken bool, err error){
	"garbage": playGarbage,
	"path":    playPath,
	"cold":    playCold,
}

// environment is what all cases have in common.
type environment struct {
	deploy  *deploy
	rec     *recorder
	tmp     string
	trouble bool

	store    *store
	machines []*machine
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT DIRECTORY")
		return exitNotPlayed
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	rec, err := newRecorder(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	defer rec.close()
	e := &environment{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	defer e.end()
	broken, err := e.play(root, cases[os.Args[1]])
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotPlayed
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

func (e *environment) play(root string, play func(*environment) (bool, error)) (broken bool, err error) {
	if e.deploy, err = readDeploy(root); err != nil {
		return false, err
	}
	if e.tmp, err = os.MkdirTemp("", "review"); err != nil {
		return false, err
	}
	if e.store, err = startStore(); err != nil {
		return false, err
	}
	return play(e)
}

// end ends all processes that were started.
func (e *environment) end() {
	for _, m := range e.machines {
		m.stop()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		e.rec.say("the logs are in %s", e.tmp)
		return
	}
	if e.tmp != "" {
		os.RemoveAll(e.tmp)
	}
}

// startMachines starts one machine in each of n zones, with all of them as seeds, and waits until they
// are ready.
func (e *environment) startMachines(n int) error {
	for i := range n {
		zone := fmt.Sprintf("zone-%c", 'a'+i)
		e.machines = append(e.machines, newMachine(e.deploy, e.rec, e.tmp, "edge-"+zone, zone, siteSettings{store: e.store.address(), memoryMB: 284}))
	}
	var seeds []string
	for _, m := range e.machines {
		seeds = append(seeds, m.control())
	}
	for _, m := range e.machines {
		m.fields["seeds"] = seeds
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range e.machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// putConfig writes a configuration with one tenant.
func (e *environment) putConfig(version int, routes, services []map[string]any) error {
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{tenantKey}}},
	})
	if err != nil {
		return err
	}
	e.store.put(topicOperator, "config", text)
	return nil
}

// The tenant of all clients.
const (
	tenant    = "counter-team"
	tenantKey = "k3y0fth3c0unt3r"
)
