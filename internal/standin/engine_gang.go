package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

const (
	gangCallTimeout   = 2 * time.Second
	gangCheckInterval = 200 * time.Millisecond
	assistPath        = "/standin/assist"
)

// member is what the receiver of a gang learns of another member.
type member struct {
	reserved   int64 // tokens
	prefillTPS float64
}

// gather checks that each member of a gang holds the reservation and that they
// hold enough together, and sets the speed of the run.
func (e *Engine) gather(ctx context.Context, r *run) *engineapi.RefusalStatusCode {
	if len(r.req.Gang) < 2 || e.knows(r.key) {
		return nil
	}
	id := r.req.ReservationID.Or("")
	reserved, ok := e.reserved(id)
	if !ok {
		return refusal(engineapi.RefusalCodeNoReservation, "receiver: no reservation "+id)
	}
	tps := e.opts.PrefillTPS
	for _, address := range r.req.Gang[1:] {
		m, err := e.askMember(ctx, address, id)
		if err != nil {
			return refusal(engineapi.RefusalCodeNoReservation, err.Error())
		}
		reserved += m.reserved
		tps += m.prefillTPS
	}
	if r.need() > reserved {
		return refusal(engineapi.RefusalCodeNoMemory, fmt.Sprintf("needs %d, gang reserved %d tokens", r.need(), reserved))
	}
	r.speed = tps / e.opts.PrefillTPS
	return nil
}

// knows tells whether a call would resume a run rather than start one.
func (e *Engine) knows(key runKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[key] != nil
}

func (e *Engine) reserved(id string) (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.reservations[id]
	if !ok {
		return 0, false
	}
	return r.Tokens, true
}

// askMember reads a member's books and load.
func (e *Engine) askMember(ctx context.Context, address, id string) (member, error) {
	var books engineapi.Books
	if err := e.fetch(ctx, address, "/v1/books", &books); err != nil {
		return member{}, err
	}
	var load engineapi.LoadReport
	if err := e.fetch(ctx, address, "/v1/load", &load); err != nil {
		return member{}, err
	}
	for _, r := range books.Reservations {
		if r.ID == id {
			return member{reserved: r.Tokens, prefillTPS: load.PrefillTokensPerS}, nil
		}
	}
	return member{}, merry.Errorf("member %s: no reservation %s", address, id)
}

// fetch reads a JSON answer of another engine.
func (e *Engine) fetch(ctx context.Context, address, path string, v json.Unmarshaler) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return merry.Prependf(err, "engine %s", address)
	}
	res, err := e.client.Do(req)
	if err != nil {
		return merry.Prependf(err, "engine %s", address)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return merry.Prependf(err, "engine %s", address)
	}
	if res.StatusCode != http.StatusOK {
		return merry.Errorf("engine %s: %s answers %d", address, path, res.StatusCode)
	}
	return merry.Prependf(v.UnmarshalJSON(body), "engine %s", address)
}

// watchGang fails a run when a member of its gang is gone, and keeps the members
// busy while it is in prefill.
func (e *Engine) watchGang(r *run) {
	id := r.req.ReservationID.Or("")
	tick := time.NewTicker(gangCheckInterval)
	defer tick.Stop()
	for {
		phase := e.phaseOf(r)
		if phase >= phaseFinished {
			return
		}
		for _, address := range r.req.Gang[1:] {
			if err := e.checkMember(address, id, phase); err != nil {
				e.mu.Lock()
				e.fail(r, "gang: "+err.Error())
				e.mu.Unlock()
				return
			}
		}
		select {
		case <-tick.C:
		case <-e.closed:
			return
		}
	}
}

func (e *Engine) phaseOf(r *run) runPhase {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.phase
}

func (e *Engine) checkMember(address, id string, phase runPhase) error {
	ctx, cancel := context.WithTimeout(context.Background(), gangCallTimeout)
	defer cancel()
	if _, err := e.askMember(ctx, address, id); err != nil {
		return err
	}
	if phase != phasePrefill {
		return nil
	}
	return e.askAssist(ctx, address)
}

// assist asks a member to compute for a gang for a while.
type assist struct {
	Ms int64 `json:"ms"`
}

func (e *Engine) askAssist(ctx context.Context, address string) error {
	body, err := json.Marshal(assist{Ms: gangCheckInterval.Milliseconds()})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+assistPath, bytes.NewReader(body))
	if err != nil {
		return merry.Prependf(err, "member %s", address)
	}
	res, err := e.client.Do(req)
	if err != nil {
		return merry.Prependf(err, "member %s", address)
	}
	return res.Body.Close()
}

// handleAssist makes this engine's steps as long as a full chunk for a while.
func (e *Engine) handleAssist(w http.ResponseWriter, r *http.Request) {
	var a assist
	if !readControl(w, r, &a) {
		return
	}
	e.mu.Lock()
	e.assistUntil = time.Now().Add(time.Duration(a.Ms) * time.Millisecond)
	e.mu.Unlock()
	writeControl(w, a)
}
