package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// register plays the servers' records: those that live are written, those that are
// silent removed, both only while the store takes writes.
func (r *rig) register() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-r.stopBeats:
			return
		case <-tick.C:
		}
		r.mu.Lock()
		if how := r.storeHow; how == "" || how == "slow" || how == "trimmed" {
			for _, s := range r.servers {
				r.enter(s)
			}
		}
		r.mu.Unlock()
	}
}

const lapse = 3 * heartbeat

// enter writes the record of a server; the caller holds the lock.
func (r *rig) enter(s *server) {
	live := time.Since(s.beat) < lapse
	switch {
	case live:
		s.seq++
		s.entered = true
		r.gone = slices.DeleteFunc(r.gone, func(id string) bool { return id == s.id() })
		r.tell(r.store, command{Op: "put", Stream: standin.Servers, Key: s.id(), Value: s.entry().Text()})
	case s.entered:
		s.entered = false
		r.gone = append(r.gone, s.id())
		r.tell(r.store, command{Op: "put", Stream: standin.Servers, Key: s.id()})
	}
}

// key is the key that versions n and n+1 of the settings allow.
func key(n int) string { return fmt.Sprintf("key-%06d", n) }

// publish writes the next version of the settings.
func (r *rig) publish() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.history.publish(r.version)
	r.putSettings()
	return r.version
}

// putSettings writes the newest settings. The caller holds the lock.
func (r *rig) putSettings() {
	r.tell(r.store, command{Op: "put", Stream: standin.Settings, Key: standin.SettingsKey, Value: standin.SettingsText(r.version, maxAttempts, key(r.version-1), key(r.version))})
}
