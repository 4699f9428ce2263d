package front

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/upstream"
)

// TestRefusalBarsUpstream guards against sending work to an upstream that has refused work
// because it is leaving, or that asked for a back-off.
func TestRefusalBarsUpstream(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for name, c := range map[string]struct {
		err  error
		bars bool
	}{
		"it is leaving":          {&upstream.RefusedError{Code: upstream.CodeLeaving}, true},
		"it asks for a back-off": {&upstream.RefusedError{Code: upstream.CodeOverloaded, BackOff: time.Hour}, true},
		"it has no memory":       {&upstream.RefusedError{Code: upstream.CodeNoMemory}, false},
		"not a refusal":          {errors.New("broken"), false},
		"no error":               {nil, false},
	} {
		s := &Server{log: logrus.NewEntry(log), notices: newNotices()}
		s.recordBackOff("u1", c.err)
		if got := s.isBarred("u1"); got != c.bars || s.isBarred("u2") {
			t.Errorf("%s: barred %v", name, got)
		}
	}
}
