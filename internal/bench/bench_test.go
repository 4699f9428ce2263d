package bench

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

func testMix() *Mix {
	return &Mix{
		Name: "test", Rate: 100, Duration: Duration(time.Minute), ShortBelowTokens: 4000,
		Wake:      &Wake{Share: 0.5, Within: Duration(6 * time.Second)},
		Customers: []Customer{{Name: "a", Token: "ta", Weight: 3}, {Name: "b", Token: "tb", Weight: 1}},
		Classes: []Class{
			{Name: "draft", Share: 3, Model: "m", Deadline: Duration(time.Second),
				PromptTokens: LengthDistribution{Min: 1000, Max: 100_000, TailShare: 0.02, TailMax: 1_000_000}, AnswerTokens: LengthDistribution{Min: 8, Max: 8}},
			{Name: "stock", Share: 1, Service: "s", Operation: "o", Deadline: Duration(time.Second), Customers: []string{"b"}},
			{Name: "archive", Count: 2, Model: "m", Deadline: Duration(time.Second),
				PromptTokens: LengthDistribution{Min: 1_000_000, Max: 1_000_000}, AnswerTokens: LengthDistribution{Min: 8, Max: 8}},
		},
	}
}

func TestScheduleFollowsFromSeed(t *testing.T) {
	m := testMix()
	one, again, other := Schedule(m, Scale{}, 1), Schedule(m, Scale{}, 1), Schedule(m, Scale{}, 2)
	if !reflect.DeepEqual(one, again) {
		t.Error("the same seed gives two schedules")
	}
	if reflect.DeepEqual(one, other) {
		t.Error("two seeds give the same schedule")
	}
	if len(one) != 6000+2 {
		t.Errorf("%d arrivals, want the rate over the duration and the two counted", len(one))
	}
}

func TestScheduleHasTheMixesShape(t *testing.T) {
	woke, tail, completions := 0, 0, 0
	arrivals := Schedule(testMix(), Scale{Lengths: 0.5}, 1)
	for i, a := range arrivals {
		if i > 0 && a.At < arrivals[i-1].At {
			t.Fatal("arrivals are out of order")
		}
		if a.Class.Name == "stock" && a.Customer.Name != "b" {
			t.Fatalf("customer %s may not send class stock", a.Customer.Name)
		}
		if a.At < 6*time.Second {
			woke++
		}
		if a.Class.Name == "draft" {
			completions++
			if a.UnscaledPromptTokens > 100_000 {
				tail++
			}
			if a.PromptTokens != scaleTokens(a.UnscaledPromptTokens, 0.5) {
				t.Fatalf("length %d scaled to %d", a.UnscaledPromptTokens, a.PromptTokens)
			}
		}
	}
	// Half of all and a tenth of the rest come within the wake: 55%.
	if share := float64(woke) / float64(len(arrivals)); share < 0.52 || share > 0.58 {
		t.Errorf("%.3f of the arrivals within the wake", share)
	}
	if share := float64(tail) / float64(completions); share < 0.013 || share > 0.027 {
		t.Errorf("%.4f of the prompts in the tail, want about one in fifty", share)
	}
}

func TestShortsAreTheSameRequests(t *testing.T) {
	m := testMix()
	all := Schedule(m, Scale{}, 1)
	short := ShortArrivals(m, all)
	if len(short) == 0 || len(short) >= len(all) {
		t.Fatalf("%d short of %d", len(short), len(all))
	}
	for _, a := range short {
		if !reflect.DeepEqual(a, all[a.Seq]) || !a.IsShort(m) {
			t.Fatalf("short request %d differs from the one in the mix", a.Seq)
		}
	}
}

// record builds a record of the first class of the mix.
func record(m *Mix, customer int, tokens int, started, total, first time.Duration, o request.Outcome) Record {
	a := &Arrival{Class: &m.Classes[0], Customer: &m.Customers[customer], UnscaledPromptTokens: tokens, Deadline: time.Second, At: started}
	return Record{Arrival: a, Started: started, Ended: started + total, Total: total, FirstToken: first, Outcome: o}
}

func TestReportCounts(t *testing.T) {
	m := testMix()
	late := record(m, 0, 2000, 0, 2*time.Second, 100*time.Millisecond, request.Complete)
	wrong := record(m, 1, 2000, 0, time.Second, 400*time.Millisecond, request.Complete)
	wrong.Mismatch = true
	refused := record(m, 0, 2000, 5*time.Second, 3*time.Second, 0, request.NotRun)
	refused.RetryAfter, refused.RetriedAt, refused.RefusalLatency = time.Second, 6*time.Second, 2*time.Millisecond
	records := []Record{
		late, wrong, refused,
		record(m, 0, 500_000, 0, time.Second, 900*time.Millisecond, request.Failed),
		record(m, 0, 500_000, 0, time.Second, 900*time.Millisecond, request.Unknown),
	}
	r := NewReport(m, Scale{}, 1, 3, records)
	if r.All.Sent != 5 || r.All.Complete != 2 || r.All.NotRun != 1 || r.All.Failed != 1 || r.All.Unknown != 1 || r.All.Late != 1 || r.All.Mismatched != 1 {
		t.Errorf("counts %+v", r.All)
	}
	if r.All.GoodShare != 0 {
		t.Errorf("a late and a wrong answer count as good: %v", r.All.GoodShare)
	}
	if len(r.Buckets) != 2 || r.Buckets[0].Bucket != "1k-4k" || r.Buckets[0].Sent != 3 || r.Buckets[1].Bucket != "256k-1M" {
		t.Errorf("buckets %+v", r.Buckets)
	}
	if got := r.Short.FirstTokenMs; got.Count != 2 || !near(got.P50, 100) || !near(got.Max, 400) {
		t.Errorf("first tokens of short %+v", got)
	}
	if f := r.Fairness; f.WorstCustomer != "b" || !near(f.Ratio, 1) {
		t.Errorf("fairness %+v", f)
	}
	if r.Retries.Count != 1 || r.Retries.Amplification != 1.2 || r.Retries.PeakToMean != 1 {
		t.Errorf("retries %+v", r.Retries)
	}
}

// near allows for the three digits of the histograms.
func near(got, want float64) bool {
	return got > want*0.999 && got < want*1.001
}

func TestStalled(t *testing.T) {
	m := testMix()
	s := time.Second
	records := []Record{
		record(m, 0, 1, 0, s, 0, request.Complete),       // 0 to 1
		record(m, 0, 1, 10*s, 8*s, 0, request.Failed),    // nothing waits from 1 to 10
		record(m, 0, 1, 13*s, 20*s, 0, request.Complete), // first completion after 10 is at 33
	}
	if got := stalled(pointers(records)); got != 23*s {
		t.Errorf("stalled for %v, want 23 s", got)
	}
}

func TestBucketsAndPeaks(t *testing.T) {
	for tokens, want := range map[int]string{999: "under 1k", 1000: "1k-4k", 3999: "1k-4k", 4000: "4k-16k", 64_000: "64k-256k", 256_000: "256k-1M", 5_000_000: "256k-1M"} {
		if got := bucketOf(tokens); got != want {
			t.Errorf("%d tokens in bucket %s, want %s", tokens, got, want)
		}
	}
	m := testMix()
	var records []Record
	for i, at := range []time.Duration{1, 1, 1, 2, 4} {
		r := record(m, 0, 1, 0, time.Second, 0, request.Complete)
		r.RetryAfter, r.RetriedAt = time.Second, at*time.Second+time.Duration(i)
		records = append(records, r)
	}
	// Five retries in the seconds 1 to 4: mean 1.25, peak 3.
	if got := newRetries(pointers(records)); got.PeakPerS != 3 || got.MeanPerS != 1.25 || got.PeakToMean != 2.4 {
		t.Errorf("retries %+v", got)
	}
}

func TestMixFindingsComeTogether(t *testing.T) {
	file := filepath.Join(t.TempDir(), "mix.yaml")
	text := "name: x\nrate: 0\nduration: 1s\nclasses:\n  - {name: a, share: 1, deadline: 1s}\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := LoadMix(file)
	for _, want := range []string{"rate: must be above 0", "customers: missing", "classes[0]: needs either model or service"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in the findings: %v", want, err)
		}
	}
}

func TestCommittedMixesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../bench/mixes/*.yaml")
	if err != nil || len(files) < 2 {
		t.Fatalf("mixes %v, %v", files, err)
	}
	for _, f := range files {
		if _, err := LoadMix(f); err != nil {
			t.Error(err)
		}
	}
}

func TestRunComesBackOnceAndVerifies(t *testing.T) {
	var mu sync.Mutex
	attempts := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		attempts++
		first := attempts == 1
		mu.Unlock()
		if first {
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"error":{"code":"limit","message":"m","outcome":"not_run","retry_after_s":0.001}}`)
			return
		}
		fmt.Fprint(w, "data: {\"choices\":[{\"text\":\"x\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	}))
	defer s.Close()
	m := testMix()
	m.Wake, m.Classes = nil, m.Classes[:1]
	arrivals := Schedule(m, Scale{Rate: 1, Duration: time.Millisecond * 1500, Lengths: 0.001}, 1)
	records := Run(context.Background(), arrivals[:1], RunOptions{
		Addresses: []string{s.Listener.Addr().String()},
		Verify:    func(_ string, _ int, answer string) bool { return answer == "y" },
	})
	if r := records[0]; r.Outcome != request.Complete || r.RetriedAt == 0 || !r.Mismatch || attempts != 2 {
		t.Errorf("record %+v after %d attempts", r, attempts)
	}
}

func TestPagesStandAlone(t *testing.T) {
	m := testMix()
	r := NewReport(m, Scale{}, 1, 1, []Record{record(m, 0, 2000, 0, time.Second, time.Millisecond, request.Complete)})
	c := &Comparison{Policies: []PolicyResult{{Policy: "random", Mix: r, Alone: r, Slowdown: newSlowdown(r, r)}}}
	for _, write := range []func(*bytes.Buffer) error{
		func(b *bytes.Buffer) error { return r.WriteHTML(b) },
		func(b *bytes.Buffer) error { return c.WriteHTML(b) },
	} {
		var b bytes.Buffer
		if err := write(&b); err != nil {
			t.Fatal(err)
		}
		page := b.String()
		if strings.Count(page, "<svg") != 2 || strings.Contains(page, "src=") || strings.Contains(page, "<link") {
			t.Errorf("the page has %d plots, or needs another file", strings.Count(page, "<svg"))
		}
	}
	file := filepath.Join(t.TempDir(), "HISTORY.md")
	for range 2 {
		if err := c.AppendHistory(file, "label", time.Unix(0, 0)); err != nil {
			t.Fatal(err)
		}
	}
	const line = "| 1970-01-01 | label | test | 1 | 100 | 60 | 1 | random | 1.00 | 1.0 | 1.0 | - | - | 100.0% | 1.00 | 1 | 1 | 0 | 0 | 0 |\n"
	if text, err := os.ReadFile(file); err != nil || string(text) != historyHeader+line+line {
		t.Errorf("history %q, %v", text, err)
	}
	if c.Policies[0].Slowdown.Ratio != 1 {
		t.Errorf("slowdown %+v", c.Policies[0].Slowdown)
	}
}
