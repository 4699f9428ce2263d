package edge

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
)

func TestListChangesAreLogged(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	p := &process{log: logrus.NewEntry(log)}
	list := func(ids ...string) *fleet.Snapshot {
		l := fleet.New(fleet.Options{})
		now := time.Now()
		var all []fleet.Change
		for _, id := range ids {
			all = append(all, fleet.Change{Name: id, Upstream: &fleet.Upstream{
				Incarnation: fleet.Incarnation{Name: id}, Service: "s", Address: "10.0.0.1:" + id,
			}})
		}
		l.Replace(all, now)
		return l.Snapshot()
	}
	lines := func(before, after *fleet.Snapshot) string {
		out.Reset()
		if !p.logListChange(before, after) {
			t.Error("no change is reported")
		}
		return out.String()
	}
	if got := lines(&fleet.Snapshot{}, list("1", "2", "3")); strings.Count(got, "\n") != 1 || !strings.Contains(got, "upstreams=3") {
		t.Errorf("the first list:\n%s", got)
	}
	var many []string
	for i := range 10 * maxListLines {
		many = append(many, strconv.Itoa(i))
	}
	if got := lines(list("1"), list(many...)); strings.Count(got, "\n") != maxListLines+1 || !strings.Contains(got, "more=179") {
		t.Errorf("many changes at once:\n%s", got)
	}
	if got := lines(list("1", "2"), list("2", "3")); strings.Count(got, "\n") != 2 || !strings.Contains(got, "upstream_listed") || !strings.Contains(got, "upstream_gone") {
		t.Errorf("a later list:\n%s", got)
	}
}
