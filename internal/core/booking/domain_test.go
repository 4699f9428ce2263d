package booking

import (
	"fmt"
	"testing"
	"time"
)

// threeDomains returns a book with the engines of three failure domains.
func threeDomains(each int) *Book {
	list := upstreams(3 * each)
	for i := range list.Upstreams {
		list.Upstreams[i].Domain = fmt.Sprint("d", i%3)
	}
	b := newBook(0)
	b.SetUpstreams(list)
	return b
}

func (b *Book) domainOf(p Part) string { return b.engines[p.Upstream].up.Domain }

func requestFrom(id, domain string, prompt int) Request {
	a := newRequest(id, prompt)
	a.Domain = domain
	return a
}

// TestAnswersComeFromTheDomainOfTheRequest guards against answers that end when a failure domain
// is cut off: those from the domain of the request's own daemon go on, on both sides of the cut.
func TestAnswersComeFromTheDomainOfTheRequest(t *testing.T) {
	b := threeDomains(6)
	for i := range 30 {
		domain := fmt.Sprint("d", i%3)
		for _, prompt := range []int{5000, 45_000, 190_000} {
			id := fmt.Sprint(i, "/", prompt)
			p := b.Place(requestFrom(id, domain, prompt), start)
			if p.Verdict != Booked {
				t.Fatalf("%s: %+v", id, p)
			}
			if got := b.domainOf(p.Parts[0]); got != domain {
				t.Errorf("%s of %s is answered from %s", id, domain, got)
			}
			b.RecordFirstEvent(id)
			if prompt > 5000 || i%2 == 0 {
				b.End(id)
			}
		}
	}
}

// TestOtherDomainsServeWhatTheOwnWouldServeLate: a prompt that its own domain would answer late goes to
// another one.
func TestOtherDomainsServeWhatTheOwnWouldServeLate(t *testing.T) {
	b := threeDomains(2)
	for _, e := range b.packOrder {
		if e.up.Domain == "d0" {
			p := Plan{Parts: []Part{{Upstream: e.up.ID}}, Read: 2 * time.Second, First: 2 * time.Second}
			b.Record(newRequest("long on "+e.up.ID, 210_000), p, start)
		}
	}
	for _, prompt := range []int{5000, 45_000} {
		p := b.Place(requestFrom(fmt.Sprint(prompt), "d0", prompt), start)
		if p.Verdict != Booked || b.domainOf(p.Parts[0]) == "d0" {
			t.Errorf("%d tokens: %+v", prompt, p)
		}
	}
}

// TestRequestsWithoutADomainArePackedTogether: daemons whose failure domain is not known share
// engines.
func TestRequestsWithoutADomainArePackedTogether(t *testing.T) {
	b := threeDomains(6)
	used := map[string]bool{}
	for i := range 12 {
		id := fmt.Sprint(i)
		used[b.Place(requestFrom(id, "", 5000), start).Parts[0].Upstream] = true
		b.RecordFirstEvent(id)
	}
	if len(used) != 1 {
		t.Errorf("12 short prompts are on %v", used)
	}
}
