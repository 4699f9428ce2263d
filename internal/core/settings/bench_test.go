package settings

import (
	"fmt"
	"testing"
	"time"
)

// siteSources returns the documents of a site of the design size: 7 failure domains, 210
// customers in 21 teams, 7 models, and 880 upstreams in 8 pools.
func siteSources(b *testing.B) []Source {
	var sources []Source
	add := func(path, text string) {
		sources = append(sources, Source{Path: path, Version: int64(len(sources) + 1), Document: mustParse(b, path, text)})
	}
	add("/", rootText())
	for team := range 21 {
		text := "limits: {requests_in_flight: 100}\ncustomers:\n"
		for c := range 10 {
			text += fmt.Sprintf("  - {name: c%d-%d, token_sha256: [%064x]}\n", team, c, team*10+c)
		}
		add(fmt.Sprintf("/team%d", team), text)
	}
	return sources
}

// rootText returns a document that lists all upstreams and models of the site.
func rootText() string {
	root := "pools:\n"
	for p := range 8 {
		kind := PoolEngine
		if p == 7 {
			kind = PoolService
		}
		root += fmt.Sprintf("  - name: pool%d\n    kind: %s\n    upstreams:\n", p, kind)
		for u := range 110 {
			root += fmt.Sprintf("      - {name: u%d-%d, address: \"10.0.%d.%d:80\", domain: d%d}\n", p, u, p, u+1, u%7)
		}
	}
	root += "models:\n"
	for m := range 7 {
		root += fmt.Sprintf("  - {name: model%d, pool: pool%d}\n", m, m)
	}
	return root
}

func BenchmarkParseDocument880(b *testing.B) {
	text := []byte(rootText())
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if doc, findings := ParseDocument("/", text); len(findings) > 0 || len(doc.Pools) != 8 {
			b.Fatal(findings)
		}
	}
}

func BenchmarkCompile(b *testing.B) {
	sources := siteSources(b)
	b.ReportAllocs()
	for b.Loop() {
		if s, findings := Compile(sources); len(findings) > 0 || len(s.Upstreams()) != 880 {
			b.Fatal(findings)
		}
	}
}

func BenchmarkCustomerByToken(b *testing.B) {
	s, _ := Compile(siteSources(b))
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.CustomerByToken("not a token of anyone"); ok {
			b.Fatal("a wrong token was accepted")
		}
	}
}

// changeLog returns n records of changes, spread over 210 documents.
func changeLog(b *testing.B, n int) (log [][]byte) {
	versions := map[string]int64{}
	yaml := "customers:\n"
	for c := range 10 {
		yaml += fmt.Sprintf("  - {name: c%d, token_sha256: [%064x]}\n", c, c)
	}
	for i := range n {
		path := fmt.Sprintf("/team%d", i%210)
		c := Change{ID: fmt.Sprintf("%036d", i), Author: "operator", CheckedOffset: int64(i)}
		c.Edits = []Edit{{Path: path, Base: versions[path], YAML: &yaml}}
		data, err := c.Encode()
		if err != nil {
			b.Fatal(err)
		}
		versions[path] = int64(i + 1)
		log = append(log, data)
	}
	return log
}

func benchmarkReplay(b *testing.B, n int) {
	log := changeLog(b, n)
	b.ReportAllocs()
	for b.Loop() {
		s := NewState()
		for i, data := range log {
			if v := s.Apply(int64(i+1), time.UnixMilli(int64(i)), data); !v.Accepted() {
				b.Fatal(v.Reason())
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/record")
	b.ReportMetric(float64(len(log[n-1])), "B/change")
}

func BenchmarkReplay1k(b *testing.B)   { benchmarkReplay(b, 1_000) }
func BenchmarkReplay100k(b *testing.B) { benchmarkReplay(b, 100_000) }

func BenchmarkExportImport(b *testing.B) {
	s := NewState()
	for i, data := range changeLog(b, 2*HistoryWindow) {
		s.Apply(int64(i+1), time.UnixMilli(int64(i)), data)
	}
	b.ReportAllocs()
	for b.Loop() {
		data := export(s)
		if _, err := ImportState(data); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "B/snapshot")
	}
}
