// Package load is a load generator that verifies responses: its callers send
// requests over HTTP/3 to a running deployment and compare each response with the
// expected response to that request. A flow is a QUIC connection of a caller.
//
// Package targetapi defines the three kinds of requests: a feed is a stream of blocks
// sent at intervals, a file a body of a given size, and a booking a POST request that
// must not run twice. Each request has a nonce, which the target repeats in the
// response and derives the body from. A repeat sends a booking again with the same
// idempotency key and another nonce.
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

// Error is the class of all errors of this package.
var Error = errs.Class("load")

// The header by which agents state whether a failed request was run, and its values, as
// package request sends them.
const (
	// HeaderOutcome is the response header that states whether a failed request
	// may have run.
	HeaderOutcome = "Balsam-Outcome"
	// OutcomeNotRun means that no byte of the request was sent to a target.
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

// Service is a service that receives requests.
type Service struct {
	// Name is also the server name that the service's certificate must have.
	Name    model.Service
	Address netip.AddrPort
}

// Config configures a run.
type Config struct {
	// Services get the requests: the last one those for files, the first one all
	// others.
	Services []Service
	// Authorities are the certificate authorities that the services' certificates
	// are verified against.
	Authorities *x509.CertPool
	// Tokens are the bearer tokens, assigned to the callers in rotation. Without
	// any, requests carry no token.
	Tokens []string
	// Feeds, Files and Bookings are the numbers of callers of each kind.
	Feeds    int
	Files    int
	Bookings int
	// Duration is the time after which no caller starts another request.
	Duration time.Duration
	// Stop ends the run early: no request starts after it is closed. It may be
	// nil.
	Stop <-chan struct{}
	// MaxRequests is the maximum number of requests per caller, not counting
	// repeats.
	MaxRequests int
	// RepeatEvery makes callers send every RepeatEvery-th booking a second time,
	// with the same idempotency key on a new flow; 0 means never.
	RepeatEvery int
	// RequestsPerFlow is the number of requests after which a caller opens a new
	// flow; 0 means never.
	RequestsPerFlow int
	// Pause is the mean time between two requests of a caller.
	Pause time.Duration
	// RequestTimeout is the time limit of one request.
	RequestTimeout time.Duration
	// FileSize is the size of a requested file, in bytes.
	FileSize int64
	// FeedBlocks is the number of blocks in a feed, and FeedInterval the time between
	// two of them.
	FeedBlocks   int
	FeedInterval time.Duration
	// Seed determines the pauses and is part of the nonces.
	Seed uint64
}

// Validate returns an error for the first field that is out of range.
func (c Config) Validate() error {
	switch {
	case len(c.Services) == 0:
		return Error.New("services: at least one is required")
	case c.Feeds < 0 || c.Files < 0 || c.Bookings < 0 || c.Feeds+c.Files+c.Bookings > maxCallers:
		return Error.New("feeds, files, bookings: the total must be 0 to %d callers", maxCallers)
	case c.Duration <= 0 || c.Duration > maxDuration:
		return Error.New("duration: %s must be above 0 and at most %s", c.Duration, maxDuration)
	case c.MaxRequests <= 0:
		return Error.New("max-requests: %d must be above 0", c.MaxRequests)
	case c.FileSize < 0 || c.FeedBlocks < 0:
		return Error.New("file-size, feed-blocks: must not be negative")
	}
	return nil
}

// The limits that Validate checks.
const (
	maxCallers  = 4000
	maxDuration = time.Hour
)

// Authorities reads certificate authorities from a PEM file. It returns an error
// if the file contains no certificate.
func Authorities(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, Error.New("%s contains no certificate", path)
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
