package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// clientRequest is what a client sends.
type clientRequest struct {
	id, method, target, host, key string
	deadline                      time.Duration
	body                          string
}

// clientConn is a client's connection, kept for many requests.
type clientConn struct {
	conn net.Conn
	br   *bufio.Reader
	used int // requests answered on it
}

func dialClient(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: c, br: bufio.NewReader(c)}, nil
}

// errNoAnswer says that the connection ended without any answer to a request that was sent.
var errNoAnswer = errors.New("the connection ended without an answer")

// do sends a request and reads the answer.
func (c *clientConn) do(r clientRequest) (status int, header http.Header, body string, err error) {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n",
		r.method, r.target, r.host, r.id, r.deadline.Milliseconds(), r.key, len(r.body))
	c.conn.SetDeadline(time.Now().Add(r.deadline + 2*time.Second))
	if _, err := io.WriteString(c.conn, head+r.body); err != nil {
		return 0, nil, "", errNoAnswer
	}
	if _, err := c.br.Peek(1); err != nil {
		return 0, nil, "", errNoAnswer
	}
	res, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0, nil, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return res.StatusCode, res.Header, string(text), err
	}
	c.used++
	if res.Close {
		c.conn.Close()
		c.conn = nil
	}
	return res.StatusCode, res.Header, string(text), nil
}

func (c *clientConn) close() {
	if c.conn != nil {
		c.conn.Close()
	}
}
