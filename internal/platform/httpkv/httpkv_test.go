package httpkv_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/observe"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/platform/httpkv"
	standin "github.com/balsamlink/balsamlink/internal/standin/platform"
)

// cleaner is the part of a test, or of one run of a property, that newHarness
// needs.
type cleaner interface {
	Cleanup(func())
}

type harness struct {
	service *standin.Service
	address netip.AddrPort
	store   platform.Store
}

func newHarness(t cleaner) *harness {
	service := standin.New()
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().(*net.TCPAddr).AddrPort()
	return &harness{service: service, address: address, store: open(address)}
}

func open(addresses ...netip.AddrPort) platform.Store {
	return httpkv.New(httpkv.Settings{Addresses: addresses, Caller: "lb-1", CallsPerSecond: 1e4, CallBurst: 1e4,
		TimeoutMillis: 2000, WatchMillis: 2000})
}

func (h *harness) put(t testing.TB, key, value string, expect platform.Version) platform.Version {
	version, err := h.store.Put(context.Background(), platform.Write{Key: key, Value: []byte(value), Expect: expect})
	require.NoError(t, err)
	return version
}

// On the stand-in, the plug-in behaves like a map with versions. A write whose
// response is lost is reported with an unknown outcome, is sent once and takes
// effect once.
func TestStoreAgainstOracle(t *testing.T) {
	ctx := context.Background()
	const prefix = "list/"
	rapid.Check(t, func(t *rapid.T) {
		// Each run has its own service, so that its rate limits do not affect
		// other runs.
		h := newHarness(t)
		oracle := map[string]platform.Entry{}
		drawKey := func() string { return prefix + rapid.SampledFrom([]string{"a", "a/b", "ü ?&"}).Draw(t, "key") }
		drawExpect := func(key string) platform.Version {
			if rapid.Bool().Draw(t, "stale") {
				return 1 << 40
			}
			return oracle[key].Version
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				key := drawKey()
				expect := drawExpect(key)
				value := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "value")
				lose := rapid.IntRange(0, 4).Draw(t, "lose") == 0
				before := h.service.Calls().ByKind["put"]
				if lose {
					h.service.Inject(standin.Faults{DropResponses: 1})
				}
				version, err := h.store.Put(ctx, platform.Write{Key: key, Value: value, Expect: expect})
				require.Equal(t, before+1, h.service.Calls().ByKind["put"], "a write is sent once")
				if lose {
					require.ErrorIs(t, err, platform.ErrUnknownOutcome)
					entry, _ := h.store.Get(ctx, key)
					version = entry.Version
				} else if expect != oracle[key].Version {
					require.ErrorIs(t, err, platform.ErrConflict)
				} else {
					require.NoError(t, err)
				}
				if expect == oracle[key].Version {
					require.Greater(t, version, oracle[key].Version)
					oracle[key] = platform.Entry{Key: key, Value: value, Version: version}
				}
			},
			"delete": func(t *rapid.T) {
				key := drawKey()
				expect := drawExpect(key)
				err := h.store.Delete(ctx, key, expect)
				_, known := oracle[key]
				switch {
				case !known:
					require.ErrorIs(t, err, platform.ErrNotFound)
				case expect != oracle[key].Version:
					require.ErrorIs(t, err, platform.ErrConflict)
				default:
					require.NoError(t, err)
					delete(oracle, key)
				}
			},
			"": func(t *rapid.T) {
				key := drawKey()
				entry, err := h.store.Get(ctx, key)
				if _, known := oracle[key]; !known {
					require.ErrorIs(t, err, platform.ErrNotFound)
				} else {
					require.NoError(t, err)
					requireEntry(t, oracle[key], entry)
				}
				entries, err := h.store.List(ctx, prefix)
				require.NoError(t, err)
				require.Len(t, entries, len(oracle))
				for _, entry := range entries {
					requireEntry(t, oracle[entry.Key], entry)
				}
			},
		})
	})
}

func requireEntry(t require.TestingT, want, got platform.Entry) {
	require.Equal(t, want.Version, got.Version)
	require.Equal(t, string(want.Value), string(got.Value))
}

// A watch reports writes, deletions and expired leases under its prefix, and
// ignores other keys. Without a change it ends after its wait time.
func TestWatchReportsWritesDeletionsAndLapsedLeases(t *testing.T) {
	ctx := context.Background()
	h := newHarness(t)
	h.put(t, "other/x", "0", 0)
	version := h.put(t, "seeds/a", "1", 0)
	next := func(write func()) platform.PrefixState {
		done := make(chan platform.PrefixState, 1)
		failed := make(chan error, 1)
		go func() {
			result, err := h.store.Watch(ctx, "seeds/", version)
			failed <- err
			done <- result
		}()
		write()
		require.NoError(t, <-failed)
		result := <-done
		version = result.Version
		return result
	}
	result := next(func() {
		h.put(t, "other/y", "0", 0)
		h.put(t, "seeds/b", "2", 0)
	})
	require.True(t, result.Changed)
	require.Len(t, result.Entries, 2)
	result = next(func() { require.NoError(t, h.store.Delete(ctx, "seeds/a", result.Entries[0].Version)) })
	require.Len(t, result.Entries, 1)

	lease, err := h.store.Grant(ctx, time.Hour)
	require.NoError(t, err)
	result = next(func() {
		_, err := h.store.Put(ctx, platform.Write{Key: "seeds/c", Lease: lease})
		require.NoError(t, err)
	})
	require.Len(t, result.Entries, 2)
	require.NoError(t, h.store.KeepAlive(ctx, lease))
	result = next(func() { h.service.Inject(standin.Faults{ExpireLeases: true}) })
	require.Len(t, result.Entries, 1)
	require.ErrorIs(t, h.store.KeepAlive(ctx, lease), platform.ErrLeaseExpired)
	_, err = h.store.Put(ctx, platform.Write{Key: "seeds/c", Lease: lease})
	require.ErrorIs(t, err, platform.ErrLeaseExpired)

	short := httpkv.New(httpkv.Settings{Addresses: []netip.AddrPort{h.address}, WatchMillis: 20})
	unchanged, err := short.Watch(ctx, "seeds/", version)
	require.NoError(t, err)
	require.Equal(t, platform.PrefixState{Version: version}, unchanged)

	lease, err = h.store.Grant(ctx, 100*time.Millisecond)
	require.NoError(t, err)
	result = next(func() {
		_, err := h.store.Put(ctx, platform.Write{Key: "seeds/d", Lease: lease})
		require.NoError(t, err)
	})
	require.Len(t, result.Entries, 2)
	result = next(func() {})
	require.Len(t, result.Entries, 1, "the lease ran out")
}

// While the service refuses calls, reads and writes are retried and then reported
// as without effect. While it does not answer, a write is sent once and its
// outcome is unknown.
func TestOutages(t *testing.T) {
	ctx := context.Background()
	h := newHarness(t)
	version := h.put(t, "k", "1", 0)

	h.service.Inject(standin.Faults{Outage: standin.OutageRefuse})
	before := h.service.Calls()
	_, err := h.store.Get(ctx, "k")
	require.ErrorIs(t, err, platform.ErrUnavailable)
	_, err = h.store.Put(ctx, platform.Write{Key: "k", Expect: version})
	require.ErrorIs(t, err, platform.ErrUnavailable, "a refused write had no effect")
	after := h.service.Calls()
	require.Equal(t, uint64(4), after.ByKind["get"]-before.ByKind["get"], "attempts of a read")

	shortTimeout := httpkv.New(httpkv.Settings{Addresses: []netip.AddrPort{h.address}, TimeoutMillis: 50})
	h.service.Inject(standin.Faults{Outage: standin.OutageHang})
	_, err = shortTimeout.Get(ctx, "k")
	require.ErrorIs(t, err, platform.ErrUnavailable)
	before = h.service.Calls()
	_, err = shortTimeout.Put(ctx, platform.Write{Key: "k", Expect: version})
	require.ErrorIs(t, err, platform.ErrUnknownOutcome)
	require.Equal(t, uint64(1), h.service.Calls().ByKind["put"]-before.ByKind["put"])

	h.service.Inject(standin.Faults{})
	entry, err := h.store.Get(ctx, "k")
	require.NoError(t, err)
	require.Equal(t, version, entry.Version)
	require.NotZero(t, h.service.Calls().ByCaller["lb-1"])
}

// When no connection to the first address can be made, the call must go to the next
// one. This holds for writes too, because the service has received nothing.
func TestAnotherAddressIsTried(t *testing.T) {
	h := newHarness(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := closed.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, closed.Close())
	store := open(gone, h.address)
	_, err = store.Put(context.Background(), platform.Write{Key: "k", Value: []byte("1")})
	require.NoError(t, err, "a write that was never sent may go to another address")
	require.Equal(t, uint64(1), h.service.Calls().ByKind["put"])
}

// A value above platform.MaxValueSize, and a call above the process's rate limit,
// must be refused with their own errors, as callers handle them differently.
func TestLimits(t *testing.T) {
	ctx := context.Background()
	h := newHarness(t)
	h.put(t, "big", strings.Repeat("x", platform.MaxValueSize), 0)
	_, err := h.store.Put(ctx, platform.Write{Key: "bigger", Value: make([]byte, platform.MaxValueSize+1)})
	require.ErrorIs(t, err, platform.ErrTooLarge)

	limited := httpkv.New(httpkv.Settings{Addresses: []netip.AddrPort{h.address}, CallsPerSecond: 0.001, CallBurst: 2})
	for range 2 {
		_, err = limited.Get(ctx, "none")
		require.ErrorIs(t, err, platform.ErrNotFound)
	}
	_, err = limited.Get(ctx, "none")
	require.ErrorIs(t, err, platform.ErrOverBudget)
}

// The stand-in must answer malformed calls with status 400. If it served them, the
// tests would not notice a plug-in that sends them.
func TestMalformedCallsAreRefused(t *testing.T) {
	h := newHarness(t)
	calls := []struct{ method, path, body string }{
		{http.MethodPut, "/v1/entry?key=k", `{}`},
		{http.MethodPut, "/v1/entry?key=", `{}`},
		{http.MethodGet, "/v1/watch?after=-1&wait_ms=1", ``},
		{http.MethodPost, "/v1/leases", `{"ttl_ms":9223372036854775807}`},
		{http.MethodPost, "/v1/leases", `{`},
		{http.MethodPost, "/v1/lease?lease=x", ``},
		{http.MethodPut, "/admin/faults", `{"outage":"some"}`},
	}
	for _, call := range calls {
		request, err := http.NewRequest(call.method, "http://"+h.address.String()+call.path, strings.NewReader(call.body))
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusBadRequest, response.StatusCode, call.path)
	}
}

// Valid settings register the plug-in's metrics. The error for an invalid setting
// must name the setting's path and value.
func TestSettings(t *testing.T) {
	_, module, err := kernel.NewModule[platform.Store](kernel.KindPlatform, httpkv.Name)
	require.NoError(t, err)
	metricSet := observe.NewMetricSet()
	env := kernel.Env{Path: "node.platform.settings", Metrics: metricSet}
	require.NoError(t, module.Provision(env, json.RawMessage(`{"addresses":["127.0.0.1:1"]}`)))
	require.Len(t, metricSet.Metrics(), 7)
	bad := map[string]string{
		`{"addresses":[]}`:                                "node.platform.settings.addresses: []",
		`{"addresses":["127.0.0.1:1","host:1"]}`:          `node.platform.settings.addresses[1]: "host:1"`,
		`{"addresses":["127.0.0.1:0"]}`:                   "node.platform.settings.addresses[0]: 127.0.0.1:0",
		`{"addresses":["127.0.0.1:1"],"timeout_ms":-1}`:   "node.platform.settings.timeout_ms: -1",
		`{"addresses":["127.0.0.1:1"],"call_rate":1}`:     "node.platform.settings.call_rate: unknown field",
		`{"addresses":["127.0.0.1:1"],"watch_ms":600000}`: "node.platform.settings.watch_ms: 600000",
	}
	for text, message := range bad {
		require.ErrorContains(t, module.Provision(env, json.RawMessage(text)), message)
	}
}
