package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Topics of the store that the platform writes.
const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
)

// heartbeat is the time between two writes of a server to the store.
const heartbeat = 1200 * time.Millisecond

// serverRequest is a request as a server has read it from its connection, byte for byte.
type serverRequest struct {
	method, target string
	header         textproto.MIMEHeader
	body           []byte
}

func (r *serverRequest) id() string { return r.header.Get("Request-Id") }

// server is a stand-in of a plain server. It reads requests itself, so that it sees the request line as
// it was sent.
type server struct {
	id, service, zone string
	listener          net.Listener
	slots             int
	work              time.Duration
	rec               *recorder

	// spoil says whether the answer to a run is to be replaced by bytes that are no answer; nil: never.
	spoil func(r *serverRequest) bool
	// onRun is called when a run begins; nil: not at all.
	onRun func(s *server, r *serverRequest)

	coldUntil atomic.Int64 // Unix ms; 0: it is not cold
	seq       atomic.Int64
	wg        sync.WaitGroup
}

func startServer(rec *recorder, id, service, zone string, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, listener: l, slots: 16, work: work, rec: rec}
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// serve accepts connections and registers the server in the store until the process ends.
func (s *server) serve(st *store) {
	s.register(st)
	go func() {
		for range time.Tick(heartbeat) {
			s.register(st)
		}
	}()
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serveConn(c)
		}
	}()
}

// register writes the server's entry.
func (s *server) register(st *store) {
	cold := max(s.coldUntil.Load()-time.Now().UnixMilli(), 0)
	entry, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address(), "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": "ready", "cold_remaining_ms": cold, "stage": "unified", "models": []any{}, "seq": s.seq.Add(1),
	})
	st.put(topicServers, s.id, entry)
}

// readRequest reads a request with a length or without a body.
func readRequest(br *bufio.Reader) (*serverRequest, error) {
	tp := textproto.NewReader(br)
	line, err := tp.ReadLine()
	if err != nil {
		return nil, err
	}
	words := strings.Split(line, " ")
	if len(words) != 3 || words[2] != "HTTP/1.1" {
		return nil, fmt.Errorf("request line %q", line)
	}
	h, err := tp.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	r := &serverRequest{method: words[0], target: words[1], header: h}
	if text := h.Get("Content-Length"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return nil, err
		}
		r.body = make([]byte, n)
		if _, err := io.ReadFull(br, r.body); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (s *server) serveConn(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := readRequest(br)
		if err != nil {
			return
		}
		if !s.answer(c, r) {
			return
		}
	}
}

// answer runs a request and answers it. It returns false if the connection is over.
func (s *server) answer(c net.Conn, r *serverRequest) bool {
	if want := r.header.Get("Expect-Instance"); want != "" && want != s.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nAt-Server: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.id(), s.id, s.address())
		return err == nil
	}
	if r.method == "GET" && r.target == "/health" {
		return s.answerHealth(c)
	}
	if r.id() == "" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	s.rec.add("server %s runs %s: %s %s", s.id, r.id(), r.method, r.target)
	if s.onRun != nil {
		s.onRun(s, r)
	}
	time.Sleep(s.work)
	if s.spoil != nil && s.spoil(r) {
		s.sendGarbage(c, r)
		return false
	}
	body := fmt.Sprintf("%s ran %s", s.id, r.id())
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s-%s\r\nContent-Length: %d\r\n\r\n%s", r.id(), s.id, r.id(), len(body), body)
	return err == nil
}

// answerHealth answers a health check; a cold server says for how long it stays so.
func (s *server) answerHealth(c net.Conn) bool {
	s.rec.add("server %s is asked for its health", s.id)
	cold := ""
	if left := s.coldUntil.Load() - time.Now().UnixMilli(); left > 0 {
		cold = fmt.Sprintf("Cold-Ms: %d\r\n", left)
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", s.id, cold)
	return err == nil
}

// linkBytesPerSecond is the bandwidth of a machine's link, 1,000 Mbit/s.
const linkBytesPerSecond = 125_000_000

// sendGarbage sends bytes that are no answer, at the bandwidth of the link, until the other end closes
// the connection.
func (s *server) sendGarbage(c net.Conn, r *serverRequest) {
	s.rec.add("server %s sends bytes that are no answer in place of that to %s", s.id, r.id())
	block := []byte(strings.Repeat("0", 32<<10))
	began, sent := time.Now(), 0
	for {
		n, err := c.Write(block)
		sent += n
		if err != nil {
			s.rec.add("server %s: the connection of %s was closed after %d bytes and %.2f s", s.id, r.id(), sent, time.Since(began).Seconds())
			return
		}
		due := began.Add(time.Duration(float64(sent) / linkBytesPerSecond * float64(time.Second)))
		time.Sleep(time.Until(due))
	}
}
