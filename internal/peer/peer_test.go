package peer

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/request"
	"github.com/balsamlink/balsamlink/internal/standin/mtls"
	standin "github.com/balsamlink/balsamlink/internal/standin/target"
	"github.com/balsamlink/balsamlink/internal/standin/targetapi"
	"github.com/balsamlink/balsamlink/internal/target/http1"
)

// agent is one agent with a stand-in target of its own.
type agent struct {
	target  *standin.Target
	handler *request.Handler
	url     string
}

type directory []Agent

// Agents implements Directory.
func (d directory) Agents() []Agent { return d }

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func startAgent(t *testing.T, config standin.Config, peers request.Peers) *agent {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := &agent{target: standin.New(config)}
	go a.target.Serve(listener)
	t.Cleanup(func() { a.target.Close() })
	module := &http1.Module{}
	settings, err := json.Marshal(map[string]any{"address": listener.Addr().String(), "slots": config.Slots})
	require.NoError(t, err)
	require.NoError(t, module.Provision(kernel.Env{Log: discardLog()}, settings))
	a.handler = request.New(request.Config{Service: "memberdesk", Target: module, Peers: peers, Log: discardLog()})
	t.Cleanup(a.handler.Close)
	server := httptest.NewServer(a.handler)
	t.Cleanup(server.Close)
	a.url = server.URL
	return a
}

// pair starts an agent that can hand over to a second one.
func pair(t *testing.T, own, other standin.Config) (*agent, *agent, *Pool) {
	config, err := mtls.NewConfig()
	require.NoError(t, err)
	second := startAgent(t, other, nil)
	relay := httptest.NewUnstartedServer(http.HandlerFunc(second.handler.ServePeer))
	relay.TLS = config.Clone()
	relay.StartTLS()
	t.Cleanup(relay.Close)
	address := relay.Listener.Addr().(*net.TCPAddr).AddrPort()
	pool := New(directory{{Node: "second", Relay: address}}, config)
	return startAgent(t, own, pool), second, pool
}

func sendBooking(t *testing.T, a *agent, nonce string) (*http.Response, []byte, error) {
	r, err := http.NewRequest(http.MethodPost, a.url+targetapi.PathBooking, nil)
	require.NoError(t, err)
	r.Header.Set(targetapi.HeaderNonce, nonce)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

// warm configures a target that can use all its slots from the start.
var warm = standin.Config{Slots: 4, ColdCapacity: 4, ServiceTime: time.Millisecond}

// TestUnsentRequestRunsAtPeer closes the first agent's target, so that the
// booking cannot be sent there and must run at the peer.
func TestUnsentRequestRunsAtPeer(t *testing.T) {
	first, second, _ := pair(t, warm, warm)
	first.target.Close()
	response, body, err := sendBooking(t, first, "n")
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, response.StatusCode)
	want, err := io.ReadAll(targetapi.Body("n", targetapi.BookingSize))
	require.NoError(t, err)
	require.Equal(t, want, body)
	require.Equal(t, 1, second.target.Ledger().RunsByNonce["n"])
}

// TestUnknownOutcomeAtPeerIsNotRetried breaks the connection to the peer's
// target after the target ran the booking: the outcome is unknown and the
// booking must not be tried again anywhere.
func TestUnknownOutcomeAtPeerIsNotRetried(t *testing.T) {
	first, second, _ := pair(t, warm, warm)
	first.target.Close()
	second.target.SetFault(standin.Fault{BreakAt: standin.StepAfterRun})
	response, _, err := sendBooking(t, first, "n")
	require.NoError(t, err)
	require.Equal(t, string(request.OutcomeUnknown), response.Header.Get(request.HeaderOutcome))
	require.Equal(t, 1, second.target.Ledger().RunsByNonce["n"])
}

// TestTruncatedPeerAnswerIsAnError breaks the connection to the peer's target in
// the middle of the response body. The caller must not take the part received for
// a complete answer.
func TestTruncatedPeerAnswerIsAnError(t *testing.T) {
	first, second, _ := pair(t, warm, warm)
	first.target.Close()
	second.target.SetFault(standin.Fault{BreakAt: standin.StepMidAnswer})
	_, _, err := sendBooking(t, first, "n")
	require.Error(t, err)
}

// TestFullTargetHandsOverToPeer fills the only slot of the first agent. One
// request goes to the peer; once the peer is full too, the next waits for the
// first agent's own slot.
func TestFullTargetHandsOverToPeer(t *testing.T) {
	oneSlot := standin.Config{Slots: 1, ColdCapacity: 1, ServiceTime: 200 * time.Millisecond}
	first, second, pool := pair(t, oneSlot, oneSlot)
	pool.poll(context.Background())
	var requests sync.WaitGroup
	statuses := make(chan int, 3)
	for _, nonce := range []string{"a", "b", "c"} {
		before := first.handler.Load()
		requests.Go(func() {
			response, _, err := sendBooking(t, first, nonce)
			if err == nil {
				statuses <- response.StatusCode
			}
		})
		require.Eventually(t, func() bool {
			load, other := first.handler.Load(), second.handler.Load()
			return load != before || other.InFlight == 1
		}, 10*time.Second, time.Millisecond)
	}
	requests.Wait()
	close(statuses)
	for status := range statuses {
		require.Equal(t, http.StatusCreated, status)
	}
	own, other := first.target.Ledger(), second.target.Ledger()
	require.Equal(t, 3, own.Bookings+other.Bookings)
	require.Equal(t, 1, other.Bookings)
	require.Equal(t, 1, own.MaxInFlight)
	require.Equal(t, 1, other.MaxInFlight)
}

// TestIdempotentRequestIsRetriedAtPeer breaks the connection to the first
// agent's target after the target ran the request and before it sent the response
// header. A GET may run again, so the peer must answer it.
func TestIdempotentRequestIsRetriedAtPeer(t *testing.T) {
	first, second, _ := pair(t, warm, warm)
	first.target.SetFault(standin.Fault{BreakAt: standin.StepAfterRun})
	response, err := http.Get(first.url + targetapi.PathFile + "?size=10")
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, 1, second.target.Ledger().Files)
}

// An agent leaves the directory. The next poll must drop its state, which would otherwise
// stay in memory for every agent that ever existed. Also checks that Pick does not return
// an agent that was already tried.
func TestDepartedAgentIsRemoved(t *testing.T) {
	_, _, pool := pair(t, warm, warm)
	pool.poll(context.Background())
	peer, found := pool.Pick(nil)
	require.True(t, found)
	require.Equal(t, model.NodeID("second"), peer.Node())
	_, found = pool.Pick([]model.NodeID{"second"})
	require.False(t, found, "a peer is tried once")
	pool.directory = directory{}
	pool.poll(context.Background())
	require.Empty(t, pool.states)
}
