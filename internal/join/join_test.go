package join

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/claims"
)

// fakePeers calls the services of other hosts directly. The host home is the home of
// every key.
type fakePeers struct {
	hosts map[string]*Service
	home  string
	self  string
	down  map[string]bool
}

var errDown = errors.New("down")

func (p *fakePeers) Owner(string) (host, address string, self bool) {
	return p.home, p.home, p.home == p.self
}

func (p *fakePeers) Address(host string) (string, bool) { return host, p.hosts[host] != nil }

func (p *fakePeers) Call(ctx context.Context, address, method string, args, reply any) error {
	if p.down[address] {
		return errDown
	}
	rpc := p.hosts[address].RPC(ctx)
	switch a := args.(type) {
	case EnterArgs:
		return rpc.Enter(a, reply.(*EnterReply))
	case LeaveArgs:
		return rpc.Leave(a, reply.(*LeaveReply))
	case ReadArgs:
		return rpc.Read(a, reply.(*claims.Chunk))
	}
	return errors.New(method)
}

func newSite(names ...string) (hosts map[string]*Service, down map[string]bool) {
	hosts, down = map[string]*Service{}, map[string]bool{}
	for i, name := range names {
		peers := &fakePeers{hosts: hosts, home: names[0], self: name, down: down}
		hosts[name] = New(Options{Host: name, Incarnation: uint64(i + 1), Peers: peers})
	}
	return hosts, down
}

func newRun(customer, id string, fingerprint uint64) Run {
	return Run{Customer: customer, Key: "archive", ID: id, Fingerprint: fingerprint, Until: time.Now().Add(time.Minute)}
}

func TestSecondRequestReadsWholeAnswerOfFirst(t *testing.T) {
	hosts, _ := newSite("home", "a", "b")
	ctx := context.Background()
	first := hosts["a"].Enter(ctx, newRun("student", "1", 7), "")
	second := hosts["b"].Enter(ctx, newRun("student", "2", 7), "")
	if first.Other != nil || second.Other == nil || second.Other.ID != "1" {
		t.Fatalf("first joins %v, second %v", first.Other, second.Other)
	}
	for what, r := range map[string]Run{"other customer": newRun("modder", "3", 7), "other body": newRun("student", "4", 8)} {
		if x := hosts["b"].Enter(ctx, r, ""); x.Other != nil {
			t.Errorf("%s joins", what)
		}
	}
	if first.HasReaders() {
		t.Error("has readers before any request reads")
	}
	want := strings.Repeat("diagnosis ", 1000)
	var got bytes.Buffer
	read := make(chan claims.Ending)
	go func() {
		end, err := hosts["b"].Relay(ctx, *second.Other, &got)
		if err != nil {
			t.Error(err)
		}
		read <- end
	}()
	for part := want; part != ""; part = part[100:] {
		_, _ = first.Answer.Write([]byte(part[:100]))
	}
	for !first.HasReaders() {
		time.Sleep(time.Millisecond)
	}
	first.Finish(claims.Ending{State: claims.AnswerComplete})
	if end := <-read; end.State != claims.AnswerComplete || got.String() != want {
		t.Errorf("%v, %d bytes of %d", end.State, got.Len(), len(want))
	}
}

func TestRequestRunsItselfWhenNoRunCanBeJoined(t *testing.T) {
	hosts, down := newSite("home", "a", "b")
	ctx := context.Background()
	down["home"] = true
	if x := hosts["a"].Enter(ctx, newRun("student", "1", 7), ""); x.Other != nil || x.Answer == nil {
		t.Error("the request does not run while its key's home is unreachable")
	}
	down["home"] = false
	hosts["a"].Enter(ctx, newRun("student", "2", 7), "")
	down["a"] = true
	late := hosts["b"].Enter(ctx, newRun("student", "3", 7), "")
	if late.Other == nil {
		t.Fatal("nothing to join")
	}
	end, err := hosts["b"].Relay(ctx, *late.Other, &bytes.Buffer{})
	if err != nil || end.State != claims.AnswerUnreachable {
		t.Errorf("%v, %v", end.State, err)
	}
	if x := hosts["b"].Enter(ctx, newRun("student", "3", 7), late.Other.ID); x.Other != nil {
		t.Error("the unreachable run is joined again")
	}
	if x := hosts["home"].Enter(ctx, newRun("student", "4", 7), ""); x.Other == nil || x.Other.ID != "3" {
		t.Error("the run that replaced it is not joined")
	}
}

func TestRegistryDropsEndedAndExpiredRuns(t *testing.T) {
	now := time.Now()
	h := newRunRegistry(func() time.Time { return now })
	r := newRun("student", "1", 7)
	h.enter(r, "")
	h.leave(newRun("student", "0", 7))
	if _, ok := h.enter(newRun("student", "2", 7), ""); !ok {
		t.Error("the end of another run removed it")
	}
	h.leave(r)
	if _, ok := h.enter(newRun("student", "2", 7), ""); ok {
		t.Error("an ended run can be joined")
	}
	now = now.Add(2 * time.Minute)
	h.enter(Run{Customer: "modder", Key: "list", ID: "3", Until: now.Add(time.Minute)}, "")
	if len(h.runs) != 1 {
		t.Errorf("%d runs registered, want 1 without the expired one", len(h.runs))
	}
}
