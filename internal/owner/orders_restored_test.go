package owner

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/order"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// eraLog is a log in memory that reports an era.
type eraLog struct {
	records []platform.Record
	era     int64
}

func (l *eraLog) Append(context.Context, string, [][]byte) (int64, error) { return 0, nil }

func (l *eraLog) Read(_ context.Context, _ string, from int64, _ int, _ time.Duration) (platform.Page, error) {
	page := platform.Page{FirstKept: 1, EndOffset: int64(len(l.records)) + 1, Era: l.era}
	if from < page.EndOffset {
		page.Records = l.records[max(from, 1)-1:]
	}
	return page, nil
}

// claim appends a host's claim of the lease.
func (l *eraLog) claim(t *testing.T, at time.Time, host string) {
	t.Helper()
	rec := order.Record{Kind: order.ClaimRecord, Pool: "p", ID: host, Holder: order.Holder{Host: host, Incarnation: "1"}}
	data, err := rec.Encode()
	if err != nil {
		t.Fatal(err)
	}
	l.records = append(l.records, platform.Record{Offset: int64(len(l.records)) + 1, At: at, Data: data})
}

// TestOrdersRereadARestoredLog guards against a host that reads a restored log from
// its old offset, which the log has not reached again, and misses the records that
// are written meanwhile.
func TestOrdersRereadARestoredLog(t *testing.T) {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	log, begin := &eraLog{era: 1}, time.Unix(1_800_000_000, 0)
	o := NewOrders(OrderOptions{Domain: "d", Log: log, Logger: quiet, CallTimeout: time.Second})
	follow := func(holder string) order.Lease {
		t.Helper()
		if err := o.readLog(t.Context()); err != nil {
			t.Fatal(err)
		}
		l, _ := o.replay.Lease("p")
		if l.Holder.Host != holder {
			t.Errorf("%q holds the lease, not %s", l.Holder.Host, holder)
		}
		return l
	}
	log.claim(t, begin, "a")
	follow("a")
	log.claim(t, begin.Add(2*order.DefaultLease), "b")
	lost := follow("b")
	log.records, log.era = log.records[:1], 2
	follow("a")
	log.claim(t, begin.Add(3*order.DefaultLease), "c")
	if got := follow("c"); got.Fence <= lost.Fence {
		t.Errorf("c holds the lease with fence %d, after b with %d", got.Fence, lost.Fence)
	}
}
