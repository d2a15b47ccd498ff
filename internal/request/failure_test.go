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

// scripted is a target that does with each request what a test says.
func scripted(t *testing.T, serve func(conn net.Conn, request *http.Request)) string {
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

// TestBookingIsOfferedOnce uses the requests that package net/http repeats by
// itself: bodyless ones with an Idempotency-Key on a connection used before.
func TestBookingIsOfferedOnce(t *testing.T) {
	var bookings atomic.Int32
	address := scripted(t, func(conn net.Conn, request *http.Request) {
		if request.Method == http.MethodPost {
			bookings.Add(1)
			conn.Close()
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	server, _ := serveHandler(t, Config{Target: plugin(t, address, 4)})
	for n := range int32(5) {
		_, _, err := ask(t, http.MethodGet, server.URL, nil)
		require.NoError(t, err)
		response, _, err := ask(t, http.MethodPost, server.URL, map[string]string{HeaderKey: fmt.Sprint("key-", n)})
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, response.StatusCode)
		require.Equal(t, string(OutcomeUnknown), response.Header.Get(HeaderOutcome))
		require.Equal(t, n+1, bookings.Load())
	}
}

// TestNotRunIsTrueAtEachStep breaks the target at each step of a booking and
// holds what the caller was told against the target's own ledger.
func TestNotRunIsTrueAtEachStep(t *testing.T) {
	for _, step := range []standin.Step{standin.StepBeforeRun, standin.StepAfterRun} {
		t.Run(string(step), func(t *testing.T) {
			double, module := startTarget(t, warm)
			server, _ := serveHandler(t, Config{Target: module})
			double.SetFault(standin.Fault{BreakAt: step})
			response, _, err := ask(t, http.MethodPost, server.URL+targetapi.PathBooking, map[string]string{targetapi.HeaderNonce: "n"})
			require.NoError(t, err)
			require.Equal(t, string(OutcomeUnknown), response.Header.Get(HeaderOutcome))
			require.LessOrEqual(t, double.Ledger().RunsByNonce["n"], 1)
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
		double, module := startTarget(t, warm)
		server, _ := serveHandler(t, Config{Target: module})
		double.Close()
		response, _, err := ask(t, http.MethodPost, server.URL+targetapi.PathBooking, map[string]string{targetapi.HeaderNonce: "n"})
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, string(OutcomeNotRun), response.Header.Get(HeaderOutcome))
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		require.Zero(t, double.Ledger().RunsByNonce["n"])
	})
	t.Run("answer without an end", func(t *testing.T) {
		address := scripted(t, func(conn net.Conn, _ *http.Request) {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf an answ")
			conn.Close()
		})
		server, _ := serveHandler(t, Config{Target: plugin(t, address, 4)})
		response, _, err := ask(t, http.MethodPost, server.URL, nil)
		require.NoError(t, err)
		require.Equal(t, string(OutcomeUnknown), response.Header.Get(HeaderOutcome))
	})
}

func TestCancellationReachesTheTargetAndFreesItsSlot(t *testing.T) {
	double, module := startTarget(t, standin.Config{Slots: 1, ColdCapacity: 1, ServiceTime: time.Minute})
	server, handler := serveHandler(t, Config{Target: module})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+targetapi.PathFile+"?size=1", nil)
	require.NoError(t, err)
	ended := make(chan error)
	go func() {
		_, err := http.DefaultClient.Do(request)
		ended <- err
	}()
	eventually(t, func() bool { return handler.Load().InFlight == 1 })
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	eventually(t, func() bool { return handler.Load().InFlight == 0 && double.Ledger().Cancelled == 1 })
}

func eventually(t *testing.T, condition func() bool) {
	require.Eventually(t, condition, 10*time.Second, 2*time.Millisecond)
}

func TestDeadlineReachesTheTargetReduced(t *testing.T) {
	double, module := startTarget(t, standin.Config{Slots: 1, ColdCapacity: 1, ServiceTime: 150 * time.Millisecond})
	server, handler := serveHandler(t, Config{Target: module})
	var first sync.WaitGroup
	first.Go(func() { ask(t, http.MethodGet, server.URL+targetapi.PathFile+"?size=1", nil) })
	eventually(t, func() bool { return handler.Load().InFlight == 1 })
	response, _, err := ask(t, http.MethodGet, server.URL+targetapi.PathFile+"?size=1", map[string]string{HeaderDeadline: "900"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	first.Wait()
	ledger := double.Ledger()
	require.Equal(t, 1, ledger.Deadlines)
	require.Less(t, ledger.LastDeadlineMs, int64(880), "the wait for the slot counts")
	require.Positive(t, ledger.LastDeadlineMs)

	response, _, err = ask(t, http.MethodPost, server.URL+targetapi.PathBooking, map[string]string{HeaderDeadline: "50"})
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	require.Equal(t, string(OutcomeUnknown), response.Header.Get(HeaderOutcome))
	require.Equal(t, 1, double.Ledger().Bookings)
	for _, bad := range []string{"-1", "soon", "99999999999"} {
		response, body, err := ask(t, http.MethodPost, server.URL+targetapi.PathBooking, map[string]string{HeaderDeadline: bad})
		require.NoError(t, err)
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
		require.Contains(t, string(body), HeaderDeadline)
		require.Equal(t, string(OutcomeNotRun), response.Header.Get(HeaderOutcome))
	}
}

// TestRetriesStayWithinTheBudget lets every offer fail. Without a budget each
// request would be offered three times.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	var offers atomic.Int32
	address := scripted(t, func(conn net.Conn, _ *http.Request) {
		offers.Add(1)
		conn.Close()
	})
	server, _ := serveHandler(t, Config{Target: plugin(t, address, 4)})
	const requests = 100
	for range requests {
		response, _, err := ask(t, http.MethodGet, server.URL, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, response.StatusCode)
	}
	require.LessOrEqual(t, int(offers.Load()), requests+budgetMost)
	require.Greater(t, int(offers.Load()), requests)
}

// TestLongBodyIsNeverOfferedHalf checks that a body too long to keep is passed
// on whole, and once.
func TestLongBodyIsNeverOfferedHalf(t *testing.T) {
	var got atomic.Int64
	address := scripted(t, func(conn net.Conn, request *http.Request) {
		n, _ := io.Copy(io.Discard, request.Body)
		got.Store(n)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	server, _ := serveHandler(t, Config{Target: plugin(t, address, 4)})
	for _, size := range []int{0, 1, replayLimit, replayLimit + 1, 1 << 20} {
		response, err := http.Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("x", size)))
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, strconv.Itoa(size), fmt.Sprint(got.Load()))
	}
}

// sharedClaims stands for the claims of two agents of one service.
type sharedClaims struct {
	mu   sync.Mutex
	keys map[Key]*KnownError
}

type sharedClaim struct {
	claims *sharedClaims
	key    Key
}

func (s *sharedClaims) Claim(_ context.Context, key Key) (Claim, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.keys[key]; known != nil {
		return nil, known
	}
	s.keys[key] = &KnownError{Outcome: OutcomeInProgress}
	return &sharedClaim{s, key}, nil
}

func (c *sharedClaim) end(known *KnownError) {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	c.claims.keys[c.key] = known
}

func (c *sharedClaim) Release()          { c.end(nil) }
func (c *sharedClaim) Unknown()          { c.end(&KnownError{Outcome: OutcomeUnknown}) }
func (c *sharedClaim) Answered(a Stored) { c.end(&KnownError{Outcome: OutcomeAlreadyRun, Answer: a}) }

// TestRepeatAtAnotherAgent repeats bookings at a second agent after the first
// one's target failed, refused or answered.
func TestRepeatAtAnotherAgent(t *testing.T) {
	claims := &sharedClaims{keys: map[Key]*KnownError{}}
	first, firstModule := startTarget(t, warm)
	second, secondModule := startTarget(t, warm)
	one, _ := serveHandler(t, Config{Target: firstModule, Claims: claims})
	two, _ := serveHandler(t, Config{Target: secondModule, Claims: claims})
	book := func(url, key string) (*http.Response, []byte) {
		header := map[string]string{targetapi.HeaderNonce: "nonce-" + key, HeaderKey: key}
		response, body, err := ask(t, http.MethodPost, url+targetapi.PathBooking, header)
		require.NoError(t, err)
		return response, body
	}
	_, answered := book(one.URL, "answered")
	require.LessOrEqual(t, first.Ledger().LastDeadlineMs, maxClaimedRun.Milliseconds())
	require.Positive(t, first.Ledger().LastDeadlineMs, "a claimed request ends within its claim")
	repeat, body := book(two.URL, "answered")
	require.Equal(t, http.StatusCreated, repeat.StatusCode)
	require.Equal(t, string(OutcomeAlreadyRun), repeat.Header.Get(HeaderOutcome))
	require.Equal(t, answered, body)
	require.Equal(t, wholeBody(t, "nonce-answered", targetapi.BookingSize), body)

	first.SetFault(standin.Fault{BreakAt: standin.StepAfterRun})
	book(one.URL, "broken")
	repeat, _ = book(two.URL, "broken")
	require.Equal(t, http.StatusConflict, repeat.StatusCode)
	require.Equal(t, string(OutcomeUnknown), repeat.Header.Get(HeaderOutcome))

	first.Close()
	refused, _ := book(one.URL, "refused")
	require.Equal(t, string(OutcomeNotRun), refused.Header.Get(HeaderOutcome))
	repeat, _ = book(two.URL, "refused")
	require.Equal(t, http.StatusCreated, repeat.StatusCode, "what was not run may run")
	for key, want := range map[string]int{"answered": 1, "broken": 1, "refused": 1} {
		require.Equal(t, want, first.Ledger().RunsByKey[key]+second.Ledger().RunsByKey[key], key)
	}
}

// TestTargetThatDrainsAndComesBack checks that its own signal keeps new work
// away although nothing else says so, and that it comes back as a new target.
func TestTargetThatDrainsAndComesBack(t *testing.T) {
	double, module := startTarget(t, warm)
	server, handler := serveHandler(t, Config{Target: module})
	double.SetFault(standin.Fault{Draining: true})
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		response, _, err := ask(t, http.MethodGet, server.URL+targetapi.PathFile+"?size=1", nil)
		require.NoError(t, err)
		require.Equal(t, want, response.StatusCode)
	}
	require.True(t, handler.Load().Draining)
	double.Close()
	eventually(t, func() bool { return !handler.Load().Draining && handler.gate.absences.Load() == 1 })
}

func TestDrainTakesNoNewWork(t *testing.T) {
	double, module := startTarget(t, warm)
	server, handler := serveHandler(t, Config{Target: module})
	feed, err := http.Get(server.URL + targetapi.PathFeed + "?blocks=5&interval_ms=20")
	require.NoError(t, err)
	defer feed.Body.Close()
	drained := make(chan error)
	go func() { drained <- handler.Drain(context.Background()) }()
	eventually(t, func() bool { return handler.Load().Draining })
	response, _, err := ask(t, http.MethodPost, server.URL+targetapi.PathBooking, nil)
	require.NoError(t, err)
	require.Equal(t, string(OutcomeNotRun), response.Header.Get(HeaderOutcome))
	body, err := io.ReadAll(feed.Body)
	require.NoError(t, err)
	require.Len(t, body, 5*targetapi.BlockSize, "the open feed ends whole")
	require.NoError(t, <-drained)
	require.Zero(t, double.Ledger().Bookings)
}
