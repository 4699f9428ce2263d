package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

func controlOnce(args ...string) (string, error) {
	var out bytes.Buffer
	err := New(&out).Run(context.Background(), append([]string{"standin", "control"}, args...))
	return out.String(), err
}

func TestControlAndWitnessFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "runs")
	ctx, cancel := context.WithCancel(context.Background())
	lines, ended := run(t, ctx, "service", "--name", "baskets", "--operation", "confirm", "--witness-file", file)
	address := firstAddress(t, lines)
	if _, err := controlOnce("--at", address, "fault", `{"kind":"melt","on":true}`); err == nil {
		t.Fatal("an unknown fault was accepted")
	}
	if _, err := controlOnce("--at", address); err == nil {
		t.Fatal("a call without a path was accepted")
	}
	if _, err := controlOnce("--at", address, "fault", `{"kind":"drop_answer","on":true,"count":1}`); err != nil {
		t.Fatal(err)
	}
	if on, err := controlOnce("--at", address, "faults"); err != nil || !strings.Contains(on, "drop_answer") {
		t.Fatalf("faults %q, %v", on, err)
	}
	c, err := engineapi.NewClient("http://" + address)
	if err != nil {
		t.Fatal(err)
	}
	p := engineapi.CallOperationParams{Operation: "confirm", XRequestID: "r", XAttempt: 1}
	if _, err := c.CallOperation(ctx, engineapi.AnyJSON("1"), p); err == nil {
		t.Fatal("the answer was not dropped")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(file)
	if err != nil || strings.Count(string(data), "\n") != 2 || !strings.Contains(string(data), `"state":"finished"`) {
		t.Fatalf("witness %q, %v", data, err)
	}
}
