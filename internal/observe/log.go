// Package observe provides logging, metrics, and an HTTP server with metrics
// and health endpoints.
package observe

import (
	"io"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"
	"golang.org/x/time/rate"
)

// Error is the class of all errors of this package.
var Error = errs.Class("observe")

const defaultLevel = logrus.InfoLevel

// eventPrefix may precede the name of an event in a log call. The formatter
// removes it, since the key "event" is printed anyway.
const eventPrefix = "event="

// NewLog returns a logger that writes one line of key=value pairs per event.
// The message of a line is the name of its event. An empty level means "info";
// an unknown one is an error.
func NewLog(out io.Writer, level string) (*logrus.Entry, error) {
	parsed := defaultLevel
	if level != "" {
		var err error
		parsed, err = logrus.ParseLevel(level)
		if err != nil {
			return nil, Error.New("log level %q; allowed: %v", level, logrus.AllLevels)
		}
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(parsed)
	logger.SetFormatter(newFormatter())
	return logrus.NewEntry(logger), nil
}

// formatter prints the message under the key "event", without eventPrefix.
type formatter struct {
	text logrus.TextFormatter
}

func newFormatter() *formatter {
	return &formatter{text: logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: time.RFC3339Nano,
		FieldMap:        logrus.FieldMap{logrus.FieldKeyMsg: "event"},
	}}
}

// Format implements logrus.Formatter.
func (f *formatter) Format(entry *logrus.Entry) ([]byte, error) {
	line := *entry
	line.Message = strings.TrimPrefix(line.Message, eventPrefix)
	return f.text.Format(&line)
}

// LimitedLog is a logger for code in which every packet can cause a log line. It
// limits the rate of lines and counts those that it suppresses. It is safe for
// concurrent use.
type LimitedLog struct {
	log        *logrus.Entry
	limit      *rate.Limiter
	suppressed *Counter
}

// NewLimitedLog returns a logger that writes up to burst lines at once and
// perSecond lines per second. The counter counts the suppressed lines.
func NewLimitedLog(log *logrus.Entry, perSecond float64, burst int, suppressed *Counter) *LimitedLog {
	return &LimitedLog{
		log:        log,
		limit:      rate.NewLimiter(rate.Limit(perSecond), burst),
		suppressed: suppressed,
	}
}

// Warn logs an event at the level "warning".
func (l *LimitedLog) Warn(event string, fields logrus.Fields) {
	l.write(logrus.WarnLevel, event, fields)
}

// Info logs an event at the level "info".
func (l *LimitedLog) Info(event string, fields logrus.Fields) {
	l.write(logrus.InfoLevel, event, fields)
}

func (l *LimitedLog) write(level logrus.Level, event string, fields logrus.Fields) {
	if !l.limit.Allow() {
		l.suppressed.Inc()
		return
	}
	l.log.WithFields(fields).WithField("suppressed_total", l.suppressed.Value()).Log(level, event)
}
