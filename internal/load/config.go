// Package load is a checking load tool: callers that send requests over HTTP/3
// to any running deployment and hold each answer against its own request.
package load

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("load")

const (
	// OutcomeHeader says how far a request that failed had come.
	OutcomeHeader = "Balsam-Outcome"
	// OutcomeNotRun means that no byte of the request was offered to a target.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown = "unknown"
	// OutcomeAlreadyRun means that an earlier request with the same idempotency
	// key has run.
	OutcomeAlreadyRun = "already-run"
	// OutcomeInProgress means that an earlier request with the same idempotency
	// key is running, or that its outcome is still being recorded.
	OutcomeInProgress = "in-progress"
)

// Service is one service to send to.
type Service struct {
	Name    model.Service
	Address netip.AddrPort
}

// Config is what a run is made of.
type Config struct {
	Services []Service
	// Authorities are the certificate authorities of the services.
	Authorities *x509.CertPool
	// Tokens are the bearer tokens that callers present in turn; none may be
	// given.
	Tokens []string
	// Feeds, Files and Bookings are the numbers of callers of each kind.
	Feeds    int
	Files    int
	Bookings int
	// Duration is the time after which no caller starts another request.
	Duration time.Duration
	// Stop ends the run early: no request starts after it was closed. It may be
	// nil.
	Stop <-chan struct{}
	// MaxRequests bounds the requests of one caller.
	MaxRequests int
	// RepeatEvery makes callers send each so-many-th booking again with the same
	// key on a new flow; 0 means never.
	RepeatEvery int
	// RequestsPerFlow is the number of requests after which a caller opens a new
	// flow; 0 means never.
	RequestsPerFlow int
	// Pause is the time between two requests of a caller.
	Pause time.Duration
	// RequestTimeout bounds one request.
	RequestTimeout time.Duration
	FileSize       int64
	FeedBlocks     int
	FeedInterval   time.Duration
	Seed           uint64
}

// Validate reports the first field that is out of its range.
func (c Config) Validate() error {
	switch {
	case len(c.Services) == 0:
		return Error.New("services: at least one is needed")
	case c.Feeds < 0 || c.Files < 0 || c.Bookings < 0 || c.Feeds+c.Files+c.Bookings > maxCallers:
		return Error.New("feeds, files, bookings: 0 to %d callers in all are allowed", maxCallers)
	case c.Duration <= 0 || c.Duration > maxDuration:
		return Error.New("duration: %s is not above 0 and at most %s", c.Duration, maxDuration)
	case c.MaxRequests <= 0:
		return Error.New("max-requests: %d is not above 0", c.MaxRequests)
	case c.FileSize < 0 || c.FeedBlocks < 0:
		return Error.New("file-size, feed-blocks: negative sizes are not allowed")
	}
	return nil
}

const (
	maxCallers  = 4000
	maxDuration = time.Hour
)

// Authorities reads a PEM file of certificate authorities.
func Authorities(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, Error.New("%s holds no certificate", path)
	}
	return pool, nil
}

func (c Config) tlsConfig(service Service) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    c.Authorities,
		ServerName: string(service.Name),
	}
}
