package command

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/standin"
)

// run starts a command line and returns its output and a channel for its result.
func run(t *testing.T, ctx context.Context, args ...string) (*bufio.Scanner, <-chan error) {
	t.Helper()
	r, w := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := New(w).Run(ctx, append([]string{"standin"}, args...))
		w.Close()
		ended <- err
	}()
	return bufio.NewScanner(r), ended
}

func firstAddress(t *testing.T, lines *bufio.Scanner) string {
	t.Helper()
	if !lines.Scan() {
		t.Fatal("no line")
	}
	address, ok := strings.CutPrefix(lines.Text(), "listening address=")
	if !ok {
		t.Fatalf("first line %q", lines.Text())
	}
	return address
}

func TestEachStandinListensAndEnds(t *testing.T) {
	for _, args := range [][]string{
		{"engine", "--name", "e", "--model", "a", "--model", "b@1", "--memory-tokens", "1000", "--prefill-tps", "500", "--decode-step", "20ms",
			"--batch", "4", "--chunk-tokens", "128", "--block-tokens", "512", "--cache-tokens", "100", "--event-delay", "1s", "--load-lag", "1s", "--checks-fencing", "--time-scale", "2"},
		{"service", "--name", "baskets", "--operation", "confirm", "--operation", "stock", "--latency", "1ms"},
		{"log", "--retention", "10m"},
		{"hosts", "--lag", "1s"},
		{"weights", "--permit-rate", "2"},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		lines, ended := run(t, ctx, append(args, "--listen", "127.0.0.1:0")...)
		address := firstAddress(t, lines)
		res, err := http.Get("http://" + address + "/standin/witness")
		if err != nil {
			t.Fatalf("%s: %v", args[0], err)
		}
		var report standin.WitnessReport
		if err := json.NewDecoder(res.Body).Decode(&report); err != nil || report.Runs == nil || len(report.Runs) != 0 {
			t.Fatalf("%s: %v, %+v", args[0], err, report)
		}
		res.Body.Close()
		cancel()
		if err := <-ended; err != nil {
			t.Fatalf("%s: %v", args[0], err)
		}
	}
}

func TestEngineFlagsReachTheEngine(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	lines, ended := run(t, ctx, "engine", "--model", "a", "--model", "b@1", "--role", "prefill", "--memory-tokens", "1000",
		"--prefill-tps", "500", "--decode-step", "20ms", "--block-tokens", "64", "--time-scale", "2")
	c, err := engineapi.NewClient("http://" + firstAddress(t, lines))
	if err != nil {
		t.Fatal(err)
	}
	res, err := c.GetLoad(ctx)
	if err != nil {
		t.Fatal(err)
	}
	got, ok := res.(*engineapi.LoadReport)
	if !ok || !slices.Equal(got.Models, []string{"a", "b@1"}) || got.Role != "prefill" || got.MemoryTotalTokens != 1000 ||
		got.PrefillTokensPerS != 1000 || got.StepMs != 10 || got.BlockTokens != 64 {
		t.Fatalf("load %+v", res)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

func TestSiteWritesItsAddresses(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "demo")
	ctx, cancel := context.WithCancel(context.Background())
	lines, ended := run(t, ctx, "site", "--dir", dir)
	address := firstAddress(t, lines)
	var parts []standin.Part
	for range 7 {
		if !lines.Scan() || !strings.HasPrefix(lines.Text(), "part name=") {
			t.Fatalf("line %q", lines.Text())
		}
	}
	data, err := os.ReadFile(filepath.Join(dir, siteFile))
	if err != nil || json.Unmarshal(data, &parts) != nil || len(parts) != 7 || parts[0].Address != address {
		t.Fatalf("parts %+v, %v", parts, err)
	}
	for _, p := range parts {
		res, err := http.Get("http://" + p.Address + "/standin/faults")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

func TestTakenPortIsAnError(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lines, ended := run(t, ctx, "log")
	address := firstAddress(t, lines)
	_, second := run(t, ctx, "log", "--listen", address)
	if err := <-second; err == nil {
		t.Fatal("two logs listen on one port")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
