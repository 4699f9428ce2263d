package cli

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	edgestatus "github.com/buckthorndock/buckthorndock/internal/edge/status"
)

// anonymousName stands for callers without a customer in tables.
const anonymousName = "(anonymous)"

// writeEdgeReport writes one line for each host, and tables with the sums.
func writeEdgeReport(w io.Writer, r *edgeReport) {
	writeEdgeHosts(w, r.Hosts)
	if r.Sum.Hosts == 0 {
		return
	}
	keepers := "none of them keeps the book, so engines, demand and shares are not known"
	if len(r.Sum.Keepers) > 0 {
		keepers = fmt.Sprintf("%d attempts in the book of %s", r.Sum.BookAttempts, strings.Join(r.Sum.Keepers, ", "))
	}
	fmt.Fprintf(w, "\nsum of %d hosts: %d requests in flight, %s\n", r.Sum.Hosts, r.Sum.RequestsInFlight, keepers)
	writeEdgeSum(w, &r.Sum)
}

// writeEdgeHosts writes a table of the hosts that answered, and a line for each other one.
func writeEdgeHosts(w io.Writer, hosts []edgeHost) {
	rows := [][]string{{"ADDRESS", "HOST", "DOMAIN", "STATE", "KEEPER", "IN FLIGHT", "WAITING", "REFUSED IN 60 S"}}
	for _, h := range hosts {
		if h.Status != nil {
			rows = append(rows, edgeHostRow(h.Address, h.Status))
		}
	}
	if len(rows) > 1 {
		writeTable(w, rows)
	}
	for _, h := range hosts {
		if h.Status == nil {
			fmt.Fprintf(w, "%s: %s\n", h.Address, h.Error)
		}
	}
}

func edgeHostRow(address string, s *edgestatus.Status) []string {
	waiting, refused := 0, int64(0)
	for _, x := range s.Waiting {
		waiting += x.Requests
	}
	for _, x := range s.Refusals {
		refused += x.Last60S
	}
	keeper := s.Keeper
	switch {
	case s.Independent:
		keeper = "itself, no other answers"
	case s.KeepsBook:
		keeper = "itself"
	}
	return []string{address, s.Host, s.Domain, s.State, keeper, strconv.Itoa(s.RequestsInFlight), strconv.Itoa(waiting), strconv.FormatInt(refused, 10)}
}

// writeEdgeSum writes the tables of a sum that have rows.
func writeEdgeSum(w io.Writer, s *edgestatus.Sum) {
	table := newTable("SERVICE", "ENGINES", "SLOTS", "USED", "FREE")
	for _, x := range s.Services {
		table.add(x.Service, x.Engines, x.Slots, x.SlotsUsed, x.SlotsFree)
	}
	table.write(w)
	table = newTable("WAITING FOR", "RANK", "REQUESTS")
	for _, x := range s.Waiting {
		table.add(x.Service, x.Rank, x.Requests)
	}
	table.write(w)
	table = newTable("REFUSED FOR", "CODE", "RANK", "IN 60 S")
	for _, x := range s.Refusals {
		service := x.Service
		if service == "" {
			service = "(no route)"
		}
		table.add(service, x.Code, x.Rank, x.Last60S)
	}
	table.write(w)
	writeEdgeDemand(w, &s.Demand)
	table = newTable("SERVICE", "CUSTOMER", "USE", "FAIR SHARE", "WAITING")
	for _, x := range s.Customers {
		table.add(x.Service, customerName(x.Customer), secondsText(x.UseMs), secondsText(x.FairShareMs), x.Waiting)
	}
	table.write(w)
	table = newTable("PLAIN SERVER", "SERVICE", "SLOTS", "LEASED", "WAITING")
	for _, x := range s.PlainServers {
		table.add(x.Upstream, x.Service, x.Slots, x.Leased, x.Waiting)
	}
	table.write(w)
	table = newTable("UPSTREAM", "SERVICE", "FACTOR")
	for _, x := range s.Upstreams {
		table.add(x.Upstream, x.Service, strconv.FormatFloat(x.Factor, 'f', 2, 64))
	}
	table.write(w)
}

func writeEdgeDemand(w io.Writer, d *edgestatus.Demand) {
	in := fmt.Sprintf("ENGINE TIME IN %g S", d.WindowS)
	table := newTable("DEMAND OF DOMAIN", "SERVICE", in, "REQUESTS")
	for _, x := range d.ByDomain {
		table.add(x.Domain, x.Service, secondsText(x.EngineTimeMs), x.Requests)
	}
	table.write(w)
	table = newTable("DEMAND OF CUSTOMER", in, "REQUESTS")
	for _, x := range d.ByCustomer {
		table.add(customerName(x.Customer), secondsText(x.EngineTimeMs), x.Requests)
	}
	if d.Rest.Customers > 0 {
		table.add(fmt.Sprintf("(%d others)", d.Rest.Customers), secondsText(d.Rest.EngineTimeMs), d.Rest.Requests)
	}
	table.write(w)
}

func customerName(name string) string {
	if name == "" {
		return anonymousName
	}
	return name
}

// secondsText returns a time in milliseconds as seconds.
func secondsText(ms float64) string { return fmt.Sprintf("%.2f s", ms/1000) }

// table is a table with a header.
type table struct{ rows [][]string }

func newTable(header ...string) *table { return &table{rows: [][]string{header}} }

func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		row = append(row, fmt.Sprint(c))
	}
	t.rows = append(t.rows, row)
}

// write writes the table after a blank line, unless it has no rows.
func (t *table) write(w io.Writer) {
	if len(t.rows) == 1 {
		return
	}
	fmt.Fprintln(w)
	writeTable(w, t.rows)
}
