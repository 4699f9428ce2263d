// Package obs sets up logging and counts the bytes of control connections.
package obs

import (
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

// DefaultLevel is the log level if none is set.
const DefaultLevel = "info"

// NewLogger returns a logger that writes each event to w as one line of key=value
// pairs. An empty level means DefaultLevel; an unknown one is an error.
func NewLogger(w io.Writer, level string) (*logrus.Logger, error) {
	if level == "" {
		level = DefaultLevel
	}
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, merry.Prependf(err, "log level %q", level)
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(parsed)
	log.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	return log, nil
}
