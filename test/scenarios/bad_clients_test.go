package scenarios

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// Starts of requests that never end.
const (
	slowHeaders = "POST /v1/completions HTTP/1.1\r\nHost: d\r\nX-Slow: "
	slowBody    = "POST /v1/completions HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer %s\r\n" +
		"Content-Type: application/json\r\nContent-Length: 100000\r\n\r\n{"
)

// trickleInterval is the time between two bytes of a slow client.
const trickleInterval = 200 * time.Millisecond

// cmdTrickle sends headers, and on another connection a body, one byte per
// trickleInterval, and checks that the daemon closes both: trickle DAEMON TOKEN.
func cmdTrickle(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "trickle DAEMON TOKEN")
	address := siteOf(ts).process(ts, args[0]).address
	starts := []string{slowHeaders, fmt.Sprintf(slowBody, args[1])}
	errs := make([]error, len(starts))
	var wg sync.WaitGroup
	for i, start := range starts {
		wg.Go(func() { errs[i] = trickle(address, start) })
	}
	wg.Wait()
	ts.Check(errors.Join(errs...))
}

// trickle sends start and then single bytes, and returns nil when the daemon has
// closed the connection.
func trickle(address, start string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, start); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	}()
	deadline := time.After(waitTimeout)
	for {
		select {
		case <-ended:
			return nil
		case <-deadline:
			return fmt.Errorf("the daemon still reads the request that starts with %q", start[:20])
		case <-time.After(trickleInterval):
			_, _ = io.WriteString(conn, "x")
		}
	}
}

// cmdManyHeaders sends a request with about BYTES bytes of headers and checks that
// it is refused with a status: manyheaders DAEMON BYTES STATUS.
func cmdManyHeaders(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 3, "manyheaders DAEMON BYTES STATUS")
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	conn, err := net.Dial("tcp", siteOf(ts).process(ts, args[0]).address)
	ts.Check(err)
	defer conn.Close()
	const header = "X-Many: 0123456789\r\n"
	go func() {
		_, _ = io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: d\r\n"+strings.Repeat(header, n/len(header))+"\r\n")
	}()
	ts.Check(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	status := make([]byte, len("HTTP/1.1 431"))
	_, err = io.ReadFull(conn, status)
	ts.Check(err)
	if !strings.HasSuffix(string(status), " "+args[2]) {
		ts.Fatalf("got %q", status)
	}
}

// cmdConnections opens COUNT connections and keeps them open until the scenario
// ends: connections DAEMON COUNT.
func cmdConnections(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "connections DAEMON COUNT")
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	address := siteOf(ts).process(ts, args[0]).address
	for range n {
		conn, err := net.Dial("tcp", address)
		ts.Check(err)
		ts.Defer(func() { _ = conn.Close() })
	}
}

// cmdNoSecrets checks that no process has logged one of the texts, and that some
// daemon has logged anything: nosecrets TEXT...
func cmdNoSecrets(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "nosecrets TEXT...")
	s := siteOf(ts)
	searched := 0
	for _, name := range s.order {
		text, err := os.ReadFile(s.processes[name].logFile)
		ts.Check(err)
		if s.processes[name].kind == kindDaemon && len(text) > 0 {
			searched++
		}
		for _, secret := range args {
			if strings.Contains(string(text), secret) {
				ts.Fatalf("%s has logged %q", name, secret)
			}
		}
	}
	if searched == 0 {
		ts.Fatalf("no daemon has logged anything")
	}
}
