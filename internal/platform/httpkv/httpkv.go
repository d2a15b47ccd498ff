// Package httpkv is the platform plug-in "httpkv": JSON over HTTP/1.1 with
// conditional requests, leases and long-poll watches. Every call has a time
// limit and counts against the process's budget. Calls that had no effect, and
// reads, are repeated with jittered backoff within a second budget; a write that
// may have been received is never repeated.
package httpkv

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/observe"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/platform/kvproto"
)

// Name is the name of the plug-in.
const Name = "httpkv"

const (
	retriesPerSecond = 2
	retryBurst       = 8
	maxIdleConns     = 4
	maxConns         = 16
	idleConnTimeout  = 30 * time.Second
)

func init() {
	kernel.Register(kernel.Plugin{
		Edge: kernel.EdgePlatform,
		Name: Name,
		New:  func() kernel.Module { return &client{} },
	})
}

// client implements platform.Store and kernel.Module.
type client struct {
	settings Settings
	http     *http.Client
	// address counts the changes of address; it selects one of them.
	address atomic.Uint32
	budget  *rate.Limiter
	retries *rate.Limiter
	metrics metrics
}

// metrics counts the calls of the process.
type metrics struct {
	attempts    *observe.Counter
	repeats     *observe.Counter
	overBudget  *observe.Counter
	unavailable *observe.Counter
	unknown     *observe.Counter
	rotations   *observe.Counter
}

func newMetrics(counters *observe.Counters) metrics {
	return metrics{
		attempts:    counters.Counter("platform_attempts", "Calls sent to the platform's service, repetitions included."),
		repeats:     counters.Counter("platform_repeats", "Calls to the platform's service that were sent again."),
		overBudget:  counters.Counter("platform_over_budget", "Calls left out since the process's budget of calls was used up."),
		unavailable: counters.Counter("platform_unavailable", "Attempts that had no effect since the service refused or could not be reached."),
		unknown:     counters.Counter("platform_unknown_outcome", "Attempts whose answer was missing or malformed."),
		rotations:   counters.Counter("platform_address_changes", "Changes to another address of the platform's service."),
	}
}

// New returns a store that calls the service, for use without a kernel.
func New(settings Settings) platform.Store {
	c := &client{}
	c.open(settings.withDefaults(), observe.NewCounters())
	return c
}

// Provision implements kernel.Module.
func (c *client) Provision(env kernel.Env, text json.RawMessage) error {
	settings, err := decodeSettings(env.Path, text)
	if err != nil {
		return err
	}
	counters := env.Counters
	if counters == nil {
		counters = observe.NewCounters()
	}
	c.open(settings, counters)
	return nil
}

// Validate implements kernel.Module.
func (c *client) Validate() error { return nil }

// Start implements kernel.Module. Connections are opened by calls.
func (c *client) Start(context.Context) error { return nil }

// Drain implements kernel.Module. Callers end their calls themselves.
func (c *client) Drain(context.Context) error { return nil }

// Stop implements kernel.Module.
func (c *client) Stop() error {
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
	return nil
}

func (c *client) open(settings Settings, counters *observe.Counters) {
	c.metrics = newMetrics(counters)
	c.settings = settings
	c.budget = rate.NewLimiter(rate.Limit(settings.CallsPerSecond), int(settings.CallBurst))
	c.retries = rate.NewLimiter(retriesPerSecond, retryBurst)
	dialer := &net.Dialer{Timeout: settings.timeout()}
	c.http = &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			MaxConnsPerHost:     maxConns,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Get implements platform.Store.
func (c *client) Get(ctx context.Context, key string) (platform.Entry, error) {
	var entry platform.Entry
	err := c.do(ctx, call{
		method:     http.MethodGet,
		path:       kvproto.PathEntry,
		query:      url.Values{kvproto.QueryKey: {key}},
		repeatable: true,
		timeout:    c.settings.timeout(),
	}, &entry)
	return entry, err
}

// List implements platform.Store.
func (c *client) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	var listing kvproto.Listing
	err := c.do(ctx, call{
		method:     http.MethodGet,
		path:       kvproto.PathList,
		query:      url.Values{kvproto.QueryPrefix: {prefix}},
		repeatable: true,
		timeout:    c.settings.timeout(),
	}, &listing)
	return listing.Entries, err
}

// Put implements platform.Store.
func (c *client) Put(ctx context.Context, write platform.Write) (platform.Version, error) {
	if len(write.Value) > platform.MaxValueSize {
		return 0, platform.Error.Wrap(platform.ErrTooLarge)
	}
	var written kvproto.Written
	err := c.do(ctx, call{
		method:  http.MethodPut,
		path:    kvproto.PathEntry,
		query:   url.Values{kvproto.QueryKey: {write.Key}},
		header:  condition(write.Expect),
		body:    kvproto.Write{Value: write.Value, Lease: write.Lease},
		timeout: c.settings.timeout(),
	}, &written)
	return written.Version, err
}

// Delete implements platform.Store.
func (c *client) Delete(ctx context.Context, key string, expect platform.Version) error {
	return c.do(ctx, call{
		method:  http.MethodDelete,
		path:    kvproto.PathEntry,
		query:   url.Values{kvproto.QueryKey: {key}},
		header:  condition(expect),
		timeout: c.settings.timeout(),
	}, nil)
}

// Watch implements platform.Store.
func (c *client) Watch(ctx context.Context, prefix string, after platform.Version) (platform.Change, error) {
	var change platform.Change
	err := c.do(ctx, call{
		method: http.MethodGet,
		path:   kvproto.PathWatch,
		query: url.Values{
			kvproto.QueryPrefix: {prefix},
			kvproto.QueryAfter:  {strconv.FormatUint(uint64(after), 10)},
			kvproto.QueryWait:   {strconv.FormatUint(uint64(c.settings.WatchMillis), 10)},
		},
		repeatable: true,
		timeout:    c.settings.watch() + c.settings.timeout(),
	}, &change)
	return change, err
}

// Grant implements platform.Store. A lease whose answer was lost ends by itself.
func (c *client) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	var granted kvproto.Granted
	err := c.do(ctx, call{
		method:  http.MethodPost,
		path:    kvproto.PathLeases,
		body:    kvproto.Grant{TTLMillis: ttl.Milliseconds()},
		timeout: c.settings.timeout(),
	}, &granted)
	return granted.Lease, err
}

// KeepAlive implements platform.Store.
func (c *client) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	return c.do(ctx, c.leaseCall(http.MethodPost, lease, true), nil)
}

// Revoke implements platform.Store.
func (c *client) Revoke(ctx context.Context, lease platform.LeaseID) error {
	return c.do(ctx, c.leaseCall(http.MethodDelete, lease, false), nil)
}

func (c *client) leaseCall(method string, lease platform.LeaseID, repeatable bool) call {
	return call{
		method:     method,
		path:       kvproto.PathLease,
		query:      url.Values{kvproto.QueryLease: {strconv.FormatUint(uint64(lease), 10)}},
		repeatable: repeatable,
		timeout:    c.settings.timeout(),
	}
}

func condition(expect platform.Version) http.Header {
	if expect == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {kvproto.FormatETag(expect)}}
}
