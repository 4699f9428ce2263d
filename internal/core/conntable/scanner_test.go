package conntable

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// heads returns heads of about size bytes in forms that differ in what they take once parsed.
func heads(size int) map[string]string {
	repeat := func(line string) string { return strings.Repeat(line, size/len(line)) }
	var different strings.Builder
	for i := 0; different.Len() < size; i++ {
		fmt.Fprintf(&different, "%x:\r\n", i)
	}
	var bare strings.Builder
	for i := 0; bare.Len() < size; i++ {
		fmt.Fprintf(&bare, "%x:\n", i)
	}
	var values strings.Builder
	for i := 0; values.Len() < size; i++ {
		fmt.Fprintf(&values, "X-Name-%d: value %d\r\n", i, i)
	}
	return map[string]string{
		"one long line":   "X-Long: " + strings.Repeat("x", size) + "\r\n",
		"same lines":      repeat("a:b\r\n"),
		"different names": different.String(),
		"bare newlines":   bare.String(),
		"name and value":  values.String(),
		"folded lines":    "a: b\r\n" + repeat(" c\r\n"),
		"ordinary":        "Content-Length: 0\r\nUser-Agent: x\r\nAccept: *\r\n",
	}
}

// TestMemoryOfAHeadIsNotUnderestimated guards against heads whose lines take more once they are parsed
// and copied than is counted for them.
func TestMemoryOfAHeadIsNotUnderestimated(t *testing.T) {
	const copies = 20
	for _, size := range []int{1 << 10, 5 << 10, 16 << 10, 31 << 10, 62 << 10, 500 << 10} {
		for name, lines := range heads(size) {
			text := []byte("GET / HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n")
			var s scanner
			if done := s.scan(text); !done {
				t.Fatalf("%s of %d bytes: no end found", name, size)
			}
			var kept []any
			before := heapInUse()
			for range copies {
				req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
				if err != nil {
					t.Fatalf("%s: %v", name, err)
				}
				kept = append(kept, req, req.Header.Clone())
			}
			taken := (heapInUse() - before) / copies
			runtime.KeepAlive(kept)
			if taken > s.memory() {
				t.Errorf("%s of %d bytes, %d lines: takes %d, counted are %d", name, size, s.lines, taken, s.memory())
			}
			t.Logf("%s of %d bytes, %d lines: takes %d (%d a line), counted are %d", name, size, s.lines, taken, taken/int64(s.lines), s.memory())
		}
	}
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestEndOfAHeadIsFoundWhereNetHTTPFindsIt compares the scanner with net/http on drawn texts, in pieces.
func TestEndOfAHeadIsFoundWhereNetHTTPFindsIt(t *testing.T) {
	parts := gen.OneConstOf("A: b\r\n", "A: b\n", " folded\r\n", "\r\n", "\n", "a:\r\n", "A: \r\r\n", "body\r\n")
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(81))
	properties.Property("same end", prop.ForAll(func(lines []string, cut int) string {
		text := "GET / HTTP/1.1\r\nHost: h\r\n"
		for _, l := range lines {
			text += l
		}
		r := bufio.NewReader(strings.NewReader(text))
		req, err := http.ReadRequest(r)
		if err != nil {
			return "" // refused or unfinished; net/http closes the connection or reads on
		}
		rest, _ := io.ReadAll(r)
		if req.ContentLength > 0 {
			return "a body"
		}
		end := len(text) - len(rest)
		var s scanner
		at := 0
		for at < len(text) {
			n := min(1+cut, len(text)-at)
			if s.scan([]byte(text[at : at+n])) {
				break
			}
			at += n
		}
		if s.bytes != end {
			return fmt.Sprintf("%q: end at %d, not %d", text, s.bytes, end)
		}
		return ""
	}, gen.SliceOfN(6, parts), gen.IntRange(0, 20)))
	properties.TestingRun(t)
}
