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

// peersOf joins services by plain calls. The host called home is that of every key.
type peersOf struct {
	hosts map[string]*Service
	home  string
	me    string
	down  map[string]bool
}

var errDown = errors.New("down")

func (p *peersOf) Owner(string) (host, address string, self bool) {
	return p.home, p.home, p.home == p.me
}

func (p *peersOf) Address(host string) (string, bool) { return host, p.hosts[host] != nil }

func (p *peersOf) Call(ctx context.Context, address, method string, args, reply any) error {
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
		peers := &peersOf{hosts: hosts, home: names[0], me: name, down: down}
		hosts[name] = New(Options{Host: name, Incarnation: uint64(i + 1), Peers: peers})
	}
	return hosts, down
}

func runOf(customer, id string, fingerprint uint64) Run {
	return Run{Customer: customer, Key: "archive", ID: id, Fingerprint: fingerprint, Until: time.Now().Add(time.Minute)}
}

func TestSecondJoinsFirstAndReadsItWhole(t *testing.T) {
	hosts, _ := newSite("home", "a", "b")
	ctx := context.Background()
	first := hosts["a"].Enter(ctx, runOf("student", "1", 7), "")
	second := hosts["b"].Enter(ctx, runOf("student", "2", 7), "")
	if first.Other != nil || second.Other == nil || second.Other.ID != "1" {
		t.Fatalf("first joins %v, second %v", first.Other, second.Other)
	}
	for what, r := range map[string]Run{"other customer": runOf("modder", "3", 7), "other body": runOf("student", "4", 8)} {
		if x := hosts["b"].Enter(ctx, r, ""); x.Other != nil {
			t.Errorf("%s joins", what)
		}
	}
	if first.HasReaders() {
		t.Error("joined before anybody reads")
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

func TestNothingToJoinIsNoFailure(t *testing.T) {
	hosts, down := newSite("home", "a", "b")
	ctx := context.Background()
	down["home"] = true
	if x := hosts["a"].Enter(ctx, runOf("student", "1", 7), ""); x.Other != nil || x.Answer == nil {
		t.Error("without a home it does not run")
	}
	down["home"] = false
	hosts["a"].Enter(ctx, runOf("student", "2", 7), "")
	down["a"] = true
	late := hosts["b"].Enter(ctx, runOf("student", "3", 7), "")
	if late.Other == nil {
		t.Fatal("nothing to join")
	}
	end, err := hosts["b"].Relay(ctx, *late.Other, &bytes.Buffer{})
	if err != nil || end.State != claims.AnswerUnreachable {
		t.Errorf("%v, %v", end.State, err)
	}
	if x := hosts["b"].Enter(ctx, runOf("student", "3", 7), late.Other.ID); x.Other != nil {
		t.Error("the useless run is joined again")
	}
	if x := hosts["home"].Enter(ctx, runOf("student", "4", 7), ""); x.Other == nil || x.Other.ID != "3" {
		t.Error("its successor is not joined")
	}
}

func TestHomeForgetsRunsThatEndOrAreLost(t *testing.T) {
	now := time.Now()
	h := newHome(func() time.Time { return now })
	r := runOf("student", "1", 7)
	h.enter(r, "")
	h.leave(runOf("student", "0", 7))
	if _, ok := h.enter(runOf("student", "2", 7), ""); !ok {
		t.Error("another run's end ended it")
	}
	h.leave(r)
	if _, ok := h.enter(runOf("student", "2", 7), ""); ok {
		t.Error("an ended run is joined")
	}
	now = now.Add(2 * time.Minute)
	h.enter(Run{Customer: "modder", Key: "list", ID: "3", Until: now.Add(time.Minute)}, "")
	if len(h.runs) != 1 {
		t.Errorf("%d runs known, one of them past its time", len(h.runs))
	}
}
