package httpwire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/inbound/inboundtest"
)

// TestBrokenAnswerIsAnError guards against broken answers that are read as sound ones, with another status, name
// or body than was sent, and against a connection that is used again after one.
func TestBrokenAnswerIsAnError(t *testing.T) {
	for name, text := range inboundtest.BrokenAnswers("X-A: b\r\n", "body") {
		t.Run(name, func(t *testing.T) {
			var logged bytes.Buffer
			log := logrus.New()
			log.SetOutput(&logged)
			p := newTestPool()
			p.rejected = newRejectedLog(logrus.NewEntry(log))
			before := rejectedInAll()
			body, err := exchange(t, p, inboundtest.ServeText(t, text), false)
			if !IsRejected(err) || errors.Is(err, ErrNotSent) {
				t.Errorf("got %q, %v", body, err)
			}
			if len(p.idle) != 0 {
				t.Error("the connection is kept")
			}
			if n := rejectedInAll() - before; n != 1 {
				t.Errorf("counted %d times", n)
			}
			if n := strings.Count(logged.String(), "msg=answer_rejected"); n != 1 {
				t.Errorf("logged %d times: %s", n, &logged)
			}
		})
	}
}

// rejectedInAll returns the number of answers that were rejected, for whatever reason.
func rejectedInAll() (n uint64) {
	for _, why := range rejectionReasons {
		n += rejectedCounter(why).Get()
	}
	return n
}

// TestLinesAboutBrokenAnswersAreBounded guards against a log that a faulty upstream fills.
func TestLinesAboutBrokenAnswersAreBounded(t *testing.T) {
	var logged bytes.Buffer
	log := logrus.New()
	log.SetOutput(&logged)
	p := newTestPool()
	p.rejected = newRejectedLog(logrus.NewEntry(log))
	address := inboundtest.ServeText(t, "HTTP/1.1 000 \r\n\r\n")
	const exchanges = 50
	for range exchanges {
		if _, err := exchange(t, p, address, false); !IsRejected(err) {
			t.Fatal(err)
		}
	}
	if n := strings.Count(logged.String(), "answer_rejected"); n == 0 || n > exchanges/2 {
		t.Errorf("%d lines of %d answers", n, exchanges)
	}
	p.rejected.limiter.SetLimit(1e9)
	if _, err := exchange(t, p, address, false); !IsRejected(err) || !strings.Contains(logged.String(), "not_logged=") {
		t.Errorf("%v, %s", err, &logged)
	}
}

// TestBrokenAnswerToAnUnsentRequestIsBroken guards against the error of a write that hides the fault of the
// answer: that tells more.
func TestBrokenAnswerToAnUnsentRequestIsBroken(t *testing.T) {
	address := inboundtest.ServeCut(t, inboundtest.Cut{Part: "HTTP/1.1 000 \r\n\r\n", Reset: true, Reads: 100})
	if _, err := newTestPool().Do(t.Context(), address, longPost(), true); !IsRejected(err) {
		t.Errorf("got %v", err)
	}
}

// FuzzAnswer checks that an answer of any bytes is read as a status and names that callers may get, or is an error,
// and that no bytes behind a whole answer are read as another one.
func FuzzAnswer(f *testing.F) {
	for _, text := range inboundtest.BrokenAnswers("X-A: b\r\n", "body") {
		f.Add([]byte(text))
	}
	f.Add([]byte(wholeAnswer + wholeAnswer))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\n" + wholeAnswer))
	f.Fuzz(func(t *testing.T, p []byte) {
		h := NewHeadReader(bytes.NewReader(p), nil)
		res, err := h.ReadHead(get())
		if err != nil {
			if errors.Is(err, io.EOF) {
				t.Errorf("%q: the end of the connection looks like that of an answer", p)
			}
			return
		}
		if res.StatusCode < 200 || res.StatusCode > 599 {
			t.Errorf("%q: status %d", p, res.StatusCode)
		}
		for name := range res.Header {
			if strings.ContainsAny(name, " \t\r\n\x00:()<>@,;\\\"/[]?={}") {
				t.Errorf("%q: name %q", p, name)
			}
		}
		if res.Header.Get("Content-Length") != "" && len(res.TransferEncoding) > 0 {
			t.Errorf("%q: two framings", p)
		}
	})
}
