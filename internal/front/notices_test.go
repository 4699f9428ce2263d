package front

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/upstream"
)

// TestRefusalBarsItsUpstream guards against upstreams that refuse work because they leave, or
// for a time, and are sent to all the same.
func TestRefusalBarsItsUpstream(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for name, c := range map[string]struct {
		err  error
		bars bool
	}{
		"it leaves":               {&upstream.RefusedError{Code: upstream.CodeLeaving}, true},
		"it wants a pause":        {&upstream.RefusedError{Code: upstream.CodeOverloaded, BackOff: time.Hour}, true},
		"it has no memory":        {&upstream.RefusedError{Code: upstream.CodeNoMemory}, false},
		"it was no word of its":   {errors.New("broken"), false},
		"nothing was wrong (nil)": {nil, false},
	} {
		s := &Server{log: logrus.NewEntry(log), notices: newNotices()}
		s.noteRefusal("u1", c.err)
		if got := s.isBarred("u1"); got != c.bars || s.isBarred("u2") {
			t.Errorf("%s: barred %v", name, got)
		}
	}
}
