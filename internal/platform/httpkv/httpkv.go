// Package httpkv is the platform plug-in "httpkv": JSON over HTTP/1.1 with
// conditional requests, leases and long-poll watches. Every call has a timeout
// and counts against the process's rate limit. Calls that had no effect, and
// reads, are retried with jittered backoff within a separate retry limit. A
// write that may have been received is never retried.
package httpkv

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/observe"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/platform/httpcall"
	"github.com/balsamlink/balsamlink/internal/platform/kvproto"
)

// Name is the registered name of the plug-in.
const Name = "httpkv"

// maxAttempts is the maximum number of attempts of a call.
const maxAttempts = 4

// maxErrorText is how much of an error's text is kept, in bytes.
const maxErrorText = 256

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kernel.KindPlatform,
		Name: Name,
		New:  func() kernel.Module { return &store{} },
	})
}

// store implements platform.Store and kernel.Module.
type store struct {
	settings Settings
	client   *httpcall.Client
}

// New returns a store that calls the service, for use without a kernel.
func New(settings Settings) platform.Store {
	s := &store{}
	s.open(settings.withDefaults(), observe.NewMetricSet())
	return s
}

// Provision implements kernel.Module.
func (s *store) Provision(env kernel.Env, text json.RawMessage) error {
	settings, err := decodeSettings(env.Path, text)
	if err != nil {
		return err
	}
	metricSet := env.Metrics
	if metricSet == nil {
		metricSet = observe.NewMetricSet()
	}
	s.open(settings, metricSet)
	return nil
}

// Validate implements kernel.Module.
func (s *store) Validate() error { return nil }

// Start implements kernel.Module. Connections are opened by calls.
func (s *store) Start(context.Context) error { return nil }

// Drain implements kernel.Module. Callers end their own calls.
func (s *store) Drain(context.Context) error { return nil }

// Stop implements kernel.Module.
func (s *store) Stop() error {
	if s.client != nil {
		s.client.Close()
	}
	return nil
}

func (s *store) open(settings Settings, metricSet *observe.MetricSet) {
	s.settings = settings
	s.client = httpcall.New(httpcall.Settings{
		Addresses:      settings.Addresses,
		Header:         http.Header{kvproto.HeaderCaller: {settings.Caller}},
		DialTimeout:    settings.timeout(),
		MaxAttempts:    maxAttempts,
		CallsPerSecond: settings.CallsPerSecond,
		CallBurst:      int(settings.CallBurst),
		StatusError:    statusError,
	}, metricSet)
}

// Get implements platform.Store.
func (s *store) Get(ctx context.Context, key string) (platform.Entry, error) {
	var entry platform.Entry
	err := s.client.Do(ctx, httpcall.Call{
		Method:     http.MethodGet,
		Path:       kvproto.PathEntry,
		Query:      url.Values{kvproto.QueryKey: {key}},
		Idempotent: true,
		Timeout:    s.settings.timeout(),
	}, &entry)
	return entry, err
}

// List implements platform.Store.
func (s *store) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	var listing kvproto.Listing
	err := s.client.Do(ctx, httpcall.Call{
		Method:     http.MethodGet,
		Path:       kvproto.PathList,
		Query:      url.Values{kvproto.QueryPrefix: {prefix}},
		Idempotent: true,
		Timeout:    s.settings.timeout(),
	}, &listing)
	return listing.Entries, err
}

// Put implements platform.Store.
func (s *store) Put(ctx context.Context, write platform.Write) (platform.Version, error) {
	if len(write.Value) > platform.MaxValueSize {
		return 0, platform.Error.Wrap(platform.ErrTooLarge)
	}
	var written kvproto.Written
	err := s.client.Do(ctx, httpcall.Call{
		Method:  http.MethodPut,
		Path:    kvproto.PathEntry,
		Query:   url.Values{kvproto.QueryKey: {write.Key}},
		Header:  condition(write.Expect),
		Body:    kvproto.Write{Value: write.Value, Lease: write.Lease},
		Timeout: s.settings.timeout(),
	}, &written)
	return written.Version, err
}

// Delete implements platform.Store.
func (s *store) Delete(ctx context.Context, key string, expect platform.Version) error {
	return s.client.Do(ctx, httpcall.Call{
		Method:  http.MethodDelete,
		Path:    kvproto.PathEntry,
		Query:   url.Values{kvproto.QueryKey: {key}},
		Header:  condition(expect),
		Timeout: s.settings.timeout(),
	}, nil)
}

// Watch implements platform.Store.
func (s *store) Watch(ctx context.Context, prefix string, after platform.Version) (platform.PrefixState, error) {
	var result platform.PrefixState
	err := s.client.Do(ctx, httpcall.Call{
		Method: http.MethodGet,
		Path:   kvproto.PathWatch,
		Query: url.Values{
			kvproto.QueryPrefix: {prefix},
			kvproto.QueryAfter:  {strconv.FormatUint(uint64(after), 10)},
			kvproto.QueryWait:   {strconv.FormatUint(uint64(s.settings.WatchMillis), 10)},
		},
		Idempotent: true,
		Timeout:    s.settings.watch() + s.settings.timeout(),
	}, &result)
	return result, err
}

// Grant implements platform.Store. A lease whose response was lost expires by
// itself.
func (s *store) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	var granted kvproto.Granted
	err := s.client.Do(ctx, httpcall.Call{
		Method:  http.MethodPost,
		Path:    kvproto.PathLeases,
		Body:    kvproto.Grant{TTLMillis: ttl.Milliseconds()},
		Timeout: s.settings.timeout(),
	}, &granted)
	return granted.Lease, err
}

// KeepAlive implements platform.Store.
func (s *store) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	return s.client.Do(ctx, s.leaseCall(http.MethodPost, lease, true), nil)
}

// Revoke implements platform.Store.
func (s *store) Revoke(ctx context.Context, lease platform.LeaseID) error {
	return s.client.Do(ctx, s.leaseCall(http.MethodDelete, lease, false), nil)
}

func (s *store) leaseCall(method string, lease platform.LeaseID, idempotent bool) httpcall.Call {
	return httpcall.Call{
		Method:     method,
		Path:       kvproto.PathLease,
		Query:      url.Values{kvproto.QueryLease: {strconv.FormatUint(uint64(lease), 10)}},
		Idempotent: idempotent,
		Timeout:    s.settings.timeout(),
	}
}

// condition returns the header of a write that is to take effect only while the
// key has the expected version.
func condition(expect platform.Version) http.Header {
	if expect == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {kvproto.FormatETag(expect)}}
}

// statusError converts a status to an error. The service guarantees that a call
// answered with 429 or 503 had no effect; statuses that are not listed here
// have an unknown outcome.
func statusError(status int, body []byte) error {
	text := fmt.Sprintf("status %d: %.*s", status, maxErrorText, body)
	switch status {
	case http.StatusNotFound:
		return platform.Error.Wrap(platform.ErrNotFound)
	case http.StatusPreconditionFailed:
		return platform.Error.Wrap(platform.ErrConflict)
	case http.StatusGone:
		return platform.Error.Wrap(platform.ErrLeaseExpired)
	case http.StatusRequestEntityTooLarge:
		return platform.Error.Wrap(platform.ErrTooLarge)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return platform.Error.New("%w: %s", platform.ErrUnavailable, text)
	case http.StatusBadRequest, http.StatusMethodNotAllowed:
		return platform.Error.New("the service refused the call: %s", text)
	default:
		return platform.Error.New("%w: %s", platform.ErrUnknownOutcome, text)
	}
}
