package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// runRegistry writes the entries of live servers into the store at each heartbeat and removes those
// of silent ones, both only while the store accepts writes.
func (r *rig) runRegistry() {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.stopped:
			return
		case <-tick.C:
		}
		r.mu.Lock()
		if name := r.storeFaultName; name == "" || name == "slow" || name == "trimmed" {
			for _, s := range r.servers {
				r.updateEntry(s)
			}
		}
		r.mu.Unlock()
	}
}

// entryTTL is the time after the last heartbeat at which a server's entry is removed.
const entryTTL = 3 * heartbeatInterval

// updateEntry writes or removes the entry of a server, by its last heartbeat. The caller holds the
// lock.
func (r *rig) updateEntry(s *server) {
	live := time.Since(s.lastHeartbeat) < entryTTL
	switch {
	case live:
		s.seq++
		s.registered = true
		r.gone = slices.DeleteFunc(r.gone, func(id string) bool { return id == s.id() })
		r.sendCommand(r.store, command{Op: "put", Stream: standin.Servers, Key: s.id(), Value: s.entry().Text()})
	case s.registered:
		s.registered = false
		r.gone = append(r.gone, s.id())
		r.sendCommand(r.store, command{Op: "put", Stream: standin.Servers, Key: s.id()})
	}
}

// apiKey returns the caller's key that versions n and n+1 of the settings allow.
func apiKey(n int) string { return fmt.Sprintf("key-%06d", n) }

// publishSettings writes the next version of the settings and returns its number.
func (r *rig) publishSettings() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.history.recordSettings(r.version)
	r.putSettings()
	return r.version
}

// putSettings writes the newest settings into the store. The caller holds the lock.
func (r *rig) putSettings() {
	r.sendCommand(r.store, command{Op: "put", Stream: standin.Settings, Key: standin.SettingsKey, Value: standin.SettingsText(r.version, r.maxAttempts, customers(r.version)...)})
}

// putForeignEntries replaces a server's entry by an invalid one, until its next heartbeat, and
// adds the invalid one under another key too.
func (r *rig) putForeignEntries(s *server, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range []string{s.id(), "not-" + s.id()} {
		r.sendCommand(r.store, command{Op: "put", Stream: standin.Servers, Key: key, Value: text})
	}
}

// putLateEntry kills a server, starts its successor, and writes the entry of the dead one after
// that of the successor, until it expires. Neither entry has a start time.
func (r *rig) putLateEntry(s *server, lasts time.Duration) {
	s.proc.kill()
	r.mu.Lock()
	dead := standin.Entry{Service: s.service, Address: s.address, Seq: s.seq + 1}
	id := s.id()
	r.mu.Unlock()
	r.startServer(s)
	r.mu.Lock()
	s.born = 0
	r.updateEntry(s)
	r.sendCommand(r.store, command{Op: "put", Stream: standin.Servers, Key: id, Value: dead.Text()})
	r.mu.Unlock()
	time.Sleep(lasts)
	r.mu.Lock()
	r.sendCommand(r.store, command{Op: "put", Stream: standin.Servers, Key: id})
	r.mu.Unlock()
}
