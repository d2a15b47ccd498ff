package request

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "github.com/balsamlink/balsamlink/internal/standin/target"
	"github.com/balsamlink/balsamlink/internal/standin/targetapi"
)

// startScriptedTarget starts a target that calls serve for each request and
// returns its address.
func startScriptedTarget(t *testing.T, serve func(conn net.Conn, request *http.Request)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					serve(conn, request)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestNonIdempotentRequestIsSentOnce checks that a request is not sent again when
// the target closes the connection. It sends requests that package net/http
// retries on its own: requests without a body that have an Idempotency-Key, on
// a reused connection.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	var bookings atomic.Int32
	address := startScriptedTarget(t, func(conn net.Conn, request *http.Request) {
		if request.Method == http.MethodPost {
			bookings.Add(1)
			conn.Close()
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	server, _ := startHandler(t, Config{Target: startPlugin(t, address, 4)})
	for n := range int32(5) {
		_, _, err := send(t, http.MethodGet, server.URL, nil)
		require.NoError(t, err)
		response, _, err := send(t, http.MethodPost, server.URL, map[string]string{HeaderIdempotencyKey: fmt.Sprint("key-", n)})
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, response.StatusCode)
		require.Equal(t, string(OutcomeUnknown), response.Header.Get(HeaderOutcome))
		require.Equal(t, n+1, bookings.Load())
	}
}

// TestOutcomeMatchesTargetLedgerAtEachStep breaks the target at each step of a
// booking and compares the outcome that the caller got with the target's ledger, in
// which the stand-in target records the requests that it has run.
func TestOutcomeMatchesTargetLedgerAtEachStep(t *testing.T) {
	for _, step := range []standin.Step{standin.StepBeforeRun, standin.StepAfterRun} {
		t.Run(string(step), func(t *testing.T) {
			target, plugin := startTarget(t, warmTarget)
			server, _ := startHandler(t, Config{Target: plugin})
			target.SetFault(standin.Fault{BreakAt: step})
			response, _, err := send(t, http.MethodPost, server.URL+targetapi.PathBooking, map[string]string{targetapi.HeaderNonce: "n"})
			require.NoError(t, err)
			require.Equal(t, string(OutcomeUnknown), response.Header.Get(HeaderOutcome))
			require.LessOrEqual(t, target.Ledger().RunsByNonce["n"], 1)
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		target, plugin := startTarget(t, warmTarget)
		server, _ := startHandler(t, Config{Target: plugin})
		target.Close()
		response, _, err := send(t, http.MethodPost, server.URL+targetapi.PathBooking, map[string]string{targetapi.HeaderNonce: "n"})
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, string(OutcomeNotRun), response.Header.Get(HeaderOutcome))
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		require.Zero(t, target.Ledger().RunsByNonce["n"])
	})
	t.Run("truncated response", func(t *testing.T) {
		address := startScriptedTarget(t, func(conn net.Conn, _ *http.Request) {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf an answ")
			conn.Close()
		})
		server, _ := startHandler(t, Config{Target: startPlugin(t, address, 4)})
		response, _, err := send(t, http.MethodPost, server.URL, nil)
		require.NoError(t, err)
		require.Equal(t, string(OutcomeUnknown), response.Header.Get(HeaderOutcome))
	})
}

// TestCancellationReachesTargetAndFreesItsSlot cancels a request that the target is
// running. The slot must be released and the target must see the cancellation.
func TestCancellationReachesTargetAndFreesItsSlot(t *testing.T) {
	target, plugin := startTarget(t, standin.Config{Slots: 1, ColdCapacity: 1, ServiceTime: time.Minute})
	server, handler := startHandler(t, Config{Target: plugin})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+targetapi.PathFile+"?size=1", nil)
	require.NoError(t, err)
	ended := make(chan error)
	go func() {
		_, err := http.DefaultClient.Do(request)
		ended <- err
	}()
	requireEventually(t, func() bool { return handler.Load().InFlight == 1 })
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	requireEventually(t, func() bool { return handler.Load().InFlight == 0 && target.Ledger().Cancelled == 1 })
}

func requireEventually(t *testing.T, condition func() bool) {
	require.Eventually(t, condition, 10*time.Second, 2*time.Millisecond)
}

// TestReducedDeadlineReachesTarget checks that the target gets the time that is left
// after the wait for a slot, that a request ends at its deadline, and that invalid
// deadlines are refused.
func TestReducedDeadlineReachesTarget(t *testing.T) {
	target, plugin := startTarget(t, standin.Config{Slots: 1, ColdCapacity: 1, ServiceTime: 150 * time.Millisecond})
	server, handler := startHandler(t, Config{Target: plugin})
	var earlier sync.WaitGroup
	earlier.Go(func() { send(t, http.MethodGet, server.URL+targetapi.PathFile+"?size=1", nil) })
	requireEventually(t, func() bool { return handler.Load().InFlight == 1 })
	response, _, err := send(t, http.MethodGet, server.URL+targetapi.PathFile+"?size=1", map[string]string{HeaderDeadline: "900"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	earlier.Wait()
	ledger := target.Ledger()
	require.Equal(t, 1, ledger.Deadlines)
	require.Less(t, ledger.LastDeadlineMs, int64(880), "the time spent waiting for the slot must be subtracted")
	require.Positive(t, ledger.LastDeadlineMs)

	response, _, err = send(t, http.MethodPost, server.URL+targetapi.PathBooking, map[string]string{HeaderDeadline: "50"})
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	require.Equal(t, string(OutcomeUnknown), response.Header.Get(HeaderOutcome))
	require.Equal(t, 1, target.Ledger().Bookings)
	for _, invalid := range []string{"-1", "soon", "99999999999"} {
		response, body, err := send(t, http.MethodPost, server.URL+targetapi.PathBooking, map[string]string{HeaderDeadline: invalid})
		require.NoError(t, err)
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
		require.Contains(t, string(body), HeaderDeadline)
		require.Equal(t, string(OutcomeNotRun), response.Header.Get(HeaderOutcome))
	}
}

// TestRetriesStayWithinBudget makes every attempt fail. Without a budget, each
// request would be attempted three times.
func TestRetriesStayWithinBudget(t *testing.T) {
	var attempts atomic.Int32
	address := startScriptedTarget(t, func(conn net.Conn, _ *http.Request) {
		attempts.Add(1)
		conn.Close()
	})
	server, _ := startHandler(t, Config{Target: startPlugin(t, address, 4)})
	const requests = 100
	for range requests {
		response, _, err := send(t, http.MethodGet, server.URL, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, response.StatusCode)
	}
	require.LessOrEqual(t, int(attempts.Load()), requests+maxRetryTokens)
	require.Greater(t, int(attempts.Load()), requests)
}

// TestLongBodyIsSentInFull checks that a body that is too long to buffer is
// sent in full, and only once.
func TestLongBodyIsSentInFull(t *testing.T) {
	var got atomic.Int64
	address := startScriptedTarget(t, func(conn net.Conn, request *http.Request) {
		n, _ := io.Copy(io.Discard, request.Body)
		got.Store(n)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	server, _ := startHandler(t, Config{Target: startPlugin(t, address, 4)})
	for _, size := range []int{0, 1, replayLimit, replayLimit + 1, 1 << 20} {
		response, err := http.Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("x", size)))
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, strconv.Itoa(size), fmt.Sprint(got.Load()))
	}
}

// sharedClaims is a store of idempotency keys that two agents of one service share.
type sharedClaims struct {
	mu   sync.Mutex
	keys map[Key]*DuplicateKeyError
}

type sharedClaim struct {
	claims *sharedClaims
	key    Key
}

func (s *sharedClaims) Claim(_ context.Context, key Key) (Claim, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if prior := s.keys[key]; prior != nil {
		return nil, prior
	}
	s.keys[key] = &DuplicateKeyError{Outcome: OutcomeInProgress}
	return &sharedClaim{s, key}, nil
}

func (c *sharedClaim) record(prior *DuplicateKeyError) {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	c.claims.keys[c.key] = prior
}

func (c *sharedClaim) Release()       { c.record(nil) }
func (c *sharedClaim) RecordUnknown() { c.record(&DuplicateKeyError{Outcome: OutcomeUnknown}) }
func (c *sharedClaim) RecordResponse(response StoredResponse) {
	c.record(&DuplicateKeyError{Outcome: OutcomeAlreadyRun, Response: response})
}

// TestDuplicateKeyAtAnotherAgent repeats bookings at a second agent after the
// first agent's target has responded, failed or refused.
func TestDuplicateKeyAtAnotherAgent(t *testing.T) {
	claims := &sharedClaims{keys: map[Key]*DuplicateKeyError{}}
	firstTarget, firstPlugin := startTarget(t, warmTarget)
	secondTarget, secondPlugin := startTarget(t, warmTarget)
	firstServer, _ := startHandler(t, Config{Target: firstPlugin, Claims: claims})
	secondServer, _ := startHandler(t, Config{Target: secondPlugin, Claims: claims})
	book := func(url, key string) (*http.Response, []byte) {
		header := map[string]string{targetapi.HeaderNonce: "nonce-" + key, HeaderIdempotencyKey: key}
		response, body, err := send(t, http.MethodPost, url+targetapi.PathBooking, header)
		require.NoError(t, err)
		return response, body
	}
	_, answered := book(firstServer.URL, "answered")
	require.LessOrEqual(t, firstTarget.Ledger().LastDeadlineMs, maxClaimedDuration.Milliseconds())
	require.Positive(t, firstTarget.Ledger().LastDeadlineMs, "a claimed request must end within the lifetime of its claim")
	repeat, body := book(secondServer.URL, "answered")
	require.Equal(t, http.StatusCreated, repeat.StatusCode)
	require.Equal(t, string(OutcomeAlreadyRun), repeat.Header.Get(HeaderOutcome))
	require.Equal(t, answered, body)
	require.Equal(t, expectedBody(t, "nonce-answered", targetapi.BookingSize), body)

	firstTarget.SetFault(standin.Fault{BreakAt: standin.StepAfterRun})
	book(firstServer.URL, "broken")
	repeat, _ = book(secondServer.URL, "broken")
	require.Equal(t, http.StatusConflict, repeat.StatusCode)
	require.Equal(t, string(OutcomeUnknown), repeat.Header.Get(HeaderOutcome))

	firstTarget.Close()
	refused, _ := book(firstServer.URL, "refused")
	require.Equal(t, string(OutcomeNotRun), refused.Header.Get(HeaderOutcome))
	repeat, _ = book(secondServer.URL, "refused")
	require.Equal(t, http.StatusCreated, repeat.StatusCode, "a request that was not run may run later")
	for key, want := range map[string]int{"answered": 1, "broken": 1, "refused": 1} {
		require.Equal(t, want, firstTarget.Ledger().RunsByKey[key]+secondTarget.Ledger().RunsByKey[key], key)
	}
}

// TestTargetDrainsAndRestarts checks that the target's own drain signal stops
// new work without any other signal, and that the target counts as new after a
// restart.
func TestTargetDrainsAndRestarts(t *testing.T) {
	target, plugin := startTarget(t, warmTarget)
	server, handler := startHandler(t, Config{Target: plugin})
	target.SetFault(standin.Fault{Draining: true})
	// The first response carries the drain signal, so the second request is refused.
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		response, _, err := send(t, http.MethodGet, server.URL+targetapi.PathFile+"?size=1", nil)
		require.NoError(t, err)
		require.Equal(t, want, response.StatusCode)
	}
	require.True(t, handler.Load().Draining)
	target.Close()
	requireEventually(t, func() bool { return !handler.Load().Draining && handler.admitter.outages.Load() == 1 })
}

// TestDrainAcceptsNoNewWork checks that a handler that drains refuses new requests and
// completes the open ones.
func TestDrainAcceptsNoNewWork(t *testing.T) {
	target, plugin := startTarget(t, warmTarget)
	server, handler := startHandler(t, Config{Target: plugin})
	feed, err := http.Get(server.URL + targetapi.PathFeed + "?blocks=5&interval_ms=20")
	require.NoError(t, err)
	defer feed.Body.Close()
	drained := make(chan error)
	go func() { drained <- handler.Drain(context.Background()) }()
	requireEventually(t, func() bool { return handler.Load().Draining })
	response, _, err := send(t, http.MethodPost, server.URL+targetapi.PathBooking, nil)
	require.NoError(t, err)
	require.Equal(t, string(OutcomeNotRun), response.Header.Get(HeaderOutcome))
	body, err := io.ReadAll(feed.Body)
	require.NoError(t, err)
	require.Len(t, body, 5*targetapi.BlockSize, "the open feed must be complete")
	require.NoError(t, <-drained)
	require.Zero(t, target.Ledger().Bookings)
}
