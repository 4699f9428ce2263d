package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

func call(ctx context.Context, address, operation, body string) (engineapi.CallOperationRes, error) {
	c, err := engineapi.NewClient("http://" + address)
	if err != nil {
		return nil, err
	}
	p := engineapi.CallOperationParams{Operation: operation, XRequestID: "r", XAttempt: 1}
	return c.CallOperation(ctx, engineapi.AnyJSON(body), p)
}

func TestServiceAnswersAndRecordsRuns(t *testing.T) {
	sv := NewService(ServiceOptions{Name: "baskets", Operations: []string{"confirm", "stock"}})
	s := start(t, sv)
	body := `{"basket": [1,  2]}`
	for run := int64(1); run <= 2; run++ {
		res, err := call(context.Background(), s.Address, "confirm", body)
		if err != nil {
			t.Fatal(err)
		}
		var got ServiceResult
		result, ok := res.(*engineapi.CallResult)
		if !ok || json.Unmarshal(result.Result, &got) != nil {
			t.Fatalf("answer %#v", res)
		}
		if want := (ServiceResult{"baskets", "confirm", hexSHA256(body), run}); got != want || result.RequestID != "r" {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	}
	res, err := call(context.Background(), s.Address, "audit", body)
	if refusal, ok := res.(*engineapi.RefusalStatusCode); err != nil || !ok || refusal.Response.Code != engineapi.RefusalCodeNotFound {
		t.Fatalf("unknown operation: %#v, %v", res, err)
	}
	runs := sv.Runs()
	if len(runs) != 2 || runs[1].Target != "baskets/confirm" || runs[1].State != RunFinished {
		t.Fatalf("runs %+v", runs)
	}
}

func TestServiceFaults(t *testing.T) {
	sv := NewService(ServiceOptions{Name: "baskets", Operations: []string{"confirm"}})
	s := start(t, sv)
	setFault(t, s.Address, Fault{Kind: FaultDropAnswer, On: true, Count: 1, Path: "confirm"})
	if _, err := call(context.Background(), s.Address, "confirm", "1"); err == nil {
		t.Fatal("the answer was not dropped")
	}
	if n := len(sv.Runs()); n != 1 {
		t.Fatalf("%d runs", n)
	}
	setFault(t, s.Address, Fault{Kind: FaultRefuse, On: true})
	res, err := call(context.Background(), s.Address, "confirm", "1")
	refusal, ok := res.(*engineapi.RefusalStatusCode)
	if err != nil || !ok || refusal.StatusCode != http.StatusInternalServerError || refusal.Response.Code != engineapi.RefusalCodeOverloaded {
		t.Fatalf("refused: %#v, %v", res, err)
	}
	if n := len(sv.Runs()); n != 1 {
		t.Fatalf("a refused call ran: %d runs", n)
	}
}

func TestUnknownFaultIsRefused(t *testing.T) {
	sv := NewService(ServiceOptions{})
	for _, x := range []Fault{{Kind: "melt", On: true}, {Kind: FaultSlow, On: true, Ms: -1}} {
		if err := sv.SetFault(x); err == nil {
			t.Errorf("%+v was accepted", x)
		}
	}
	if n := len(sv.faults.list()); n != 0 {
		t.Fatalf("%d faults are on", n)
	}
}
