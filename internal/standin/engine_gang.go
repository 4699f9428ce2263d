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

// memberState is what the receiver, the first engine of a gang, reads from another
// member.
type memberState struct {
	reserved   int64 // tokens
	prefillTPS float64
}

// checkGang checks that each member of the run's gang holds the reservation and
// that together they hold enough tokens, and sets the speed of the run.
func (e *Engine) checkGang(ctx context.Context, r *run) *engineapi.RefusalStatusCode {
	if len(r.req.Gang) < 2 || e.hasRun(r.key) {
		return nil
	}
	id := r.req.ReservationID.Or("")
	reserved, ok := e.reservedTokens(id)
	if !ok {
		return newRefusal(engineapi.RefusalCodeNoReservation, "receiver: no reservation "+id)
	}
	tps := e.opts.PrefillTPS
	for _, address := range r.req.Gang[1:] {
		m, err := e.readMember(ctx, address, id)
		if err != nil {
			return newRefusal(engineapi.RefusalCodeNoReservation, err.Error())
		}
		reserved += m.reserved
		tps += m.prefillTPS
	}
	if r.neededTokens() > reserved {
		return newRefusal(engineapi.RefusalCodeNoMemory, fmt.Sprintf("needs %d tokens, the gang reserved %d", r.neededTokens(), reserved))
	}
	r.speed = tps / e.opts.PrefillTPS
	return nil
}

// hasRun reports whether the engine has a run of the key, which a call would resume.
func (e *Engine) hasRun(key runKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[key] != nil
}

// reservedTokens returns the tokens of a reservation.
func (e *Engine) reservedTokens(id string) (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.reservations[id]
	if !ok {
		return 0, false
	}
	return r.Tokens, true
}

// readMember reads a member's books and load report. It fails if the member does
// not hold the reservation.
func (e *Engine) readMember(ctx context.Context, address, id string) (memberState, error) {
	var books engineapi.Books
	if err := e.fetch(ctx, address, "/v1/books", &books); err != nil {
		return memberState{}, err
	}
	var load engineapi.LoadReport
	if err := e.fetch(ctx, address, "/v1/load", &load); err != nil {
		return memberState{}, err
	}
	for _, r := range books.Reservations {
		if r.ID == id {
			return memberState{reserved: r.Tokens, prefillTPS: load.PrefillTokensPerS}, nil
		}
	}
	return memberState{}, merry.Errorf("member %s: no reservation %s", address, id)
}

// fetch decodes the JSON answer of another engine to a GET call.
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
		return merry.Errorf("engine %s: %s returned status %d", address, path, res.StatusCode)
	}
	return merry.Prependf(v.UnmarshalJSON(body), "engine %s", address)
}

// watchGang checks the members of a run's gang until the run ends. It fails the run
// when a member is unreachable or has lost the reservation, and keeps the members
// busy during the prefill.
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
				e.failRun(r, "gang: "+err.Error())
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

// checkMember checks one member, and asks for its assistance during the prefill.
func (e *Engine) checkMember(address, id string, phase runPhase) error {
	ctx, cancel := context.WithTimeout(context.Background(), gangCallTimeout)
	defer cancel()
	if _, err := e.readMember(ctx, address, id); err != nil {
		return err
	}
	if phase != phasePrefill {
		return nil
	}
	return e.requestAssist(ctx, address)
}

// assistRequest asks a member to compute for a gang for Ms milliseconds.
type assistRequest struct {
	Ms int64 `json:"ms"`
}

func (e *Engine) requestAssist(ctx context.Context, address string) error {
	body, err := json.Marshal(assistRequest{Ms: gangCheckInterval.Milliseconds()})
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

// handleAssist makes each step of this engine as long as that of a full prefill
// chunk, for the time in the request.
func (e *Engine) handleAssist(w http.ResponseWriter, r *http.Request) {
	var a assistRequest
	if !readControl(w, r, &a) {
		return
	}
	e.mu.Lock()
	e.assistUntil = time.Now().Add(time.Duration(a.Ms) * time.Millisecond)
	e.mu.Unlock()
	writeControl(w, a)
}
