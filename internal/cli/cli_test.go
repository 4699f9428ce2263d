package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
)

const testToken = "operator-secret"

// fakeDaemon is a daemon that stores settings documents: it accepts a change when all
// its bases are the versions in force.
type fakeDaemon struct {
	callerapi.UnimplementedHandler
	offset       int64
	docs         map[string]callerapi.SettingsDocument
	history      []callerapi.SettingsHistoryChangesItem
	loseVerdicts bool // answer each change with an unknown outcome
}

func (f *fakeDaemon) HandleBearerAuth(ctx context.Context, _ callerapi.OperationName, t callerapi.BearerAuth) (context.Context, error) {
	if t.Token != testToken {
		return ctx, fmt.Errorf("wrong token %q", t.Token)
	}
	return ctx, nil
}

func (f *fakeDaemon) GetSettings(_ context.Context, p callerapi.GetSettingsParams) (callerapi.GetSettingsRes, error) {
	view := &callerapi.SettingsView{Offset: f.offset, Digest: "d", Documents: []callerapi.SettingsDocument{}}
	for path, d := range f.docs {
		if strings.HasPrefix(path, p.Prefix.Value) {
			view.Documents = append(view.Documents, d)
		}
	}
	return view, nil
}

func (f *fakeDaemon) ChangeSettings(_ context.Context, c *callerapi.SettingsChange) (callerapi.ChangeSettingsRes, error) {
	f.offset++
	v := &callerapi.SettingsVerdict{ChangeID: c.ChangeID, Offset: f.offset, Accepted: true, Findings: []callerapi.Finding{}}
	for _, e := range c.Edits {
		if f.docs[e.Path].Version != e.Base {
			v.Accepted = false
			v.Findings = append(v.Findings, callerapi.Finding{Place: e.Path, Message: "base is old"})
		}
	}
	for _, e := range c.Edits {
		if v.Accepted && e.Yaml.Set {
			f.docs[e.Path] = callerapi.SettingsDocument{Path: e.Path, Version: f.offset, Yaml: e.Yaml.Value}
		}
		if v.Accepted && !e.Yaml.Set {
			delete(f.docs, e.Path)
		}
	}
	f.history = append(f.history, callerapi.SettingsHistoryChangesItem{ChangeID: c.ChangeID, Offset: v.Offset, Accepted: v.Accepted, Paths: []string{}})
	if f.loseVerdicts {
		detail := callerapi.ErrorDetail{Code: "outcome_lost", Outcome: callerapi.ErrorDetailOutcomeUnknown}
		return &callerapi.ErrorStatusCode{StatusCode: http.StatusGatewayTimeout, Response: callerapi.ErrorBody{Error: detail}}, nil
	}
	return v, nil
}

func (f *fakeDaemon) GetSettingsHistory(context.Context, callerapi.GetSettingsHistoryParams) (callerapi.GetSettingsHistoryRes, error) {
	return &callerapi.SettingsHistory{Changes: f.history}, nil
}

func (f *fakeDaemon) GetStatus(context.Context) (callerapi.GetStatusRes, error) {
	return &callerapi.Status{
		Host: "entry-1", Domain: "hal-a", Incarnation: "1", State: "ready", SettingsOffset: 7, SettingsDigest: "abc",
		Peers: []callerapi.PeerStatus{}, Upstreams: []callerapi.UpstreamStatus{},
	}, nil
}

// serve starts the fake daemon and returns its IP:port.
func serve(t *testing.T, f *fakeDaemon) string {
	t.Helper()
	api, err := callerapi.NewServer(f, f, f)
	if err != nil {
		t.Fatal(err)
	}
	return serveHandler(t, api)
}

func serveHandler(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// run runs the tool with the address of a daemon and fails the test when the output
// contains the token.
func run(t *testing.T, address string, args ...string) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	all := append([]string{"buckthorndock", "--address", address, "--token", testToken}, args...)
	code = Run(context.Background(), all, Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr})
	if strings.Contains(stdout.String()+stderr.String(), testToken) {
		t.Errorf("the token is printed:\n%s%s", stdout.String(), stderr.String())
	}
	return code, stdout.String(), stderr.String()
}

func mustRun(t *testing.T, address string, args ...string) string {
	t.Helper()
	code, out, errOut := run(t, address, args...)
	if code != ExitOK {
		t.Fatalf("%v: exit code %d\n%s%s", args, code, out, errOut)
	}
	return out
}

func TestApplyThenGetThenConflict(t *testing.T) {
	f := &fakeDaemon{docs: map[string]callerapi.SettingsDocument{}}
	address := serve(t, f)
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "_root.yaml"), "limits: {requests_in_flight: 10}\n")
	writeFile(t, filepath.Join(dir, "frigolijst", "baskets.yaml"), "limits: {requests_in_flight: 2}\n")
	mustRun(t, address, "settings", "apply", dir)
	if got := f.docs["/frigolijst/baskets"].Yaml; got != "limits: {requests_in_flight: 2}\n" {
		t.Fatalf("the document in force is %q", got)
	}

	mine := filepath.Join(t.TempDir(), "mine")
	mustRun(t, address, "settings", "get", "--to", mine, "/frigolijst")
	writeFile(t, filepath.Join(mine, "baskets", rootFile), "limits: {requests_in_flight: 3}\n")
	mustRun(t, address, "settings", "apply", "--at", "/frigolijst", mine)
	writeFile(t, filepath.Join(mine, "baskets", rootFile), "limits: {requests_in_flight: 4}\n")
	mustRun(t, address, "settings", "delete", "/frigolijst/baskets")
	code, out, _ := run(t, address, "settings", "apply", "--at", "/frigolijst", mine)
	if code != ExitConflict || !strings.Contains(out, "/frigolijst/baskets: conflict: the change starts from version 2, in force is 0") {
		t.Fatalf("exit code %d, output %q", code, out)
	}
}

func TestLostVerdictIsFoundInTheHistory(t *testing.T) {
	f := &fakeDaemon{docs: map[string]callerapi.SettingsDocument{"/a": {Path: "/a", Version: 1}}, offset: 1, loseVerdicts: true}
	address := serve(t, f)
	out := mustRun(t, address, "settings", "delete", "/a")
	if !strings.HasPrefix(out, "accepted: change ") || len(f.history) != 1 {
		t.Errorf("after %d changes: %s", len(f.history), out)
	}
	if code, out, _ := run(t, address, "settings", "delete", "--base", "1", "/a"); code != ExitConflict {
		t.Errorf("exit code %d, output %q", code, out)
	}
}

func TestDiffWithPrune(t *testing.T) {
	f := &fakeDaemon{offset: 3, docs: map[string]callerapi.SettingsDocument{
		"/":  {Path: "/", Version: 1, Yaml: "limits:\n  requests_in_flight: 1\n"},
		"/b": {Path: "/b", Version: 3, Yaml: "keys: {}\n"},
	}}
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "_root.yaml"), "limits:\n  requests_in_flight: 2\n")
	want := "change / (base version 1)\n  limits:\n-   requests_in_flight: 1\n+   requests_in_flight: 2\n" +
		"delete /b (base version 3)\n- keys: {}\n"
	if got := mustRun(t, serve(t, f), "settings", "diff", "--prune", dir); got != want {
		t.Fatalf("got\n%swant\n%s", got, want)
	}
}

func TestStatusJSONGolden(t *testing.T) {
	address := serve(t, &fakeDaemon{})
	got := strings.ReplaceAll(mustRun(t, address, "--output", "json", "status"), address, "ADDRESS")
	want, err := os.ReadFile(filepath.Join("testdata", "status.json"))
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Fatalf("got\n%s\nwant\n%s", got, want)
	}
}

func TestExitCodes(t *testing.T) {
	answers := map[string]func(http.ResponseWriter){
		"/v1/services/s/ok":      func(w http.ResponseWriter) { fmt.Fprint(w, `{"done":true}`) },
		"/v1/services/s/refused": errorAnswer(503, "not_run"),
		"/v1/services/s/failed":  errorAnswer(502, "failed"),
		"/v1/services/s/lost":    errorAnswer(504, "unknown"),
	}
	address := serveHandler(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answers[r.URL.Path](w)
	}))
	cases := []struct {
		args []string
		want int
	}{
		{[]string{"call", "service", "s", "ok"}, ExitOK},
		{[]string{"call", "service", "s", "refused"}, ExitRefused},
		{[]string{"call", "service", "s", "failed"}, ExitFailed},
		{[]string{"call", "service", "s", "lost"}, ExitUnknown},
		{[]string{"call", "service", "s"}, ExitUsage},
		{[]string{"call", "service", "s", "ok", "{"}, ExitUsage},
		{[]string{"call", "completion", "--model", "m"}, ExitUsage},
		{[]string{"--output", "xml", "status"}, ExitUsage},
		{[]string{"settings", "get", "relative"}, ExitUsage},
		{[]string{"--nonsense"}, ExitUsage},
	}
	for _, c := range cases {
		if code, out, errOut := run(t, address, c.args...); code != c.want {
			t.Errorf("%v: exit code %d, want %d\n%s%s", c.args, code, c.want, out, errOut)
		}
	}
}

func errorAnswer(status int, outcome string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		detail := map[string]any{"code": "c", "message": "m", "type": "t", "outcome": outcome, "request_id": "r"}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(map[string]any{"error": detail})
	}
}

func TestCheckReportsAllFindings(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "a.yaml"), "routing: {policy: fast, colour: 1}\n")
	writeFile(t, filepath.Join(dir, "b.yaml"), "limits: {requests_in_flight: -1}\n")
	code, out, _ := run(t, "127.0.0.1:1", "check", "settings", dir)
	for _, want := range []string{"a.yaml:1: routing.colour: ", "a.yaml:1: routing.policy: ", "b.yaml:1: limits.requests_in_flight: "} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is not in\n%s", want, out)
		}
	}
	if code != ExitUsage {
		t.Errorf("exit code %d", code)
	}
	writeFile(t, filepath.Join(dir, "a.yaml"), "models: [{name: m, pool: nowhere}]\n")
	writeFile(t, filepath.Join(dir, "b.yaml"), "limits: {requests_in_flight: 1}\n")
	if code, out, _ := run(t, "127.0.0.1:1", "check", "settings", dir); code != ExitUsage || !strings.Contains(out, "a.yaml:1: ") {
		t.Errorf("exit code %d, output %q", code, out)
	}
	daemon := filepath.Join(dir, "daemon")
	writeFile(t, daemon, "host: entry-1\nlisten: somewhere:1\n")
	code, out, _ = run(t, "127.0.0.1:1", "check", "daemon", daemon)
	if code != ExitUsage || !strings.Contains(out, "listen") || !strings.Contains(out, "peer_key") {
		t.Errorf("exit code %d, output %q", code, out)
	}
}

func TestExamplesAreValid(t *testing.T) {
	mustRun(t, "127.0.0.1:1", "check", "settings", filepath.Join("..", "..", "examples"))
}
