package request

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/kernel"
	standin "github.com/balsamlink/balsamlink/internal/standin/target"
	"github.com/balsamlink/balsamlink/internal/standin/targetapi"
	"github.com/balsamlink/balsamlink/internal/target/http1"
)

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// startTarget starts a stand-in target and a target plug-in that is connected
// to it, and returns both.
func startTarget(t *testing.T, config standin.Config) (*standin.Target, *http1.Module) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	target := standin.New(config)
	go target.Serve(listener)
	t.Cleanup(func() { target.Close() })
	return target, startPlugin(t, listener.Addr().String(), config.Slots)
}

func startPlugin(t *testing.T, address string, slots int) *http1.Module {
	plugin := &http1.Module{}
	settings, err := json.Marshal(map[string]any{"address": address, "slots": slots})
	require.NoError(t, err)
	require.NoError(t, plugin.Provision(kernel.Env{Log: discardLog()}, settings))
	require.NoError(t, plugin.Validate())
	require.NoError(t, plugin.Start(context.Background()))
	t.Cleanup(func() { plugin.Stop() })
	return plugin
}

// startHandler starts an HTTP server with a handler of the given configuration.
func startHandler(t *testing.T, config Config) (*httptest.Server, *Handler) {
	config.Log = discardLog()
	handler := New(config)
	t.Cleanup(handler.Close)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server, handler
}

// send sends one request and returns the response and its body.
func send(t *testing.T, method, url string, header map[string]string) (*http.Response, []byte, error) {
	request, err := http.NewRequest(method, url, nil)
	require.NoError(t, err)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

// expectedBody returns the body with which a stand-in target responds to a nonce.
func expectedBody(t *testing.T, nonce string, size int64) []byte {
	body, err := io.ReadAll(targetapi.Body(nonce, size))
	require.NoError(t, err)
	return body
}

// warmTarget configures a stand-in target that can use all its slots at once.
var warmTarget = standin.Config{Slots: 8, ColdCapacity: 8, ServiceTime: time.Millisecond}

func TestResponsesAreCompleteAndMatchTheirRequests(t *testing.T) {
	target, plugin := startTarget(t, warmTarget)
	server, _ := startHandler(t, Config{Target: plugin})
	cases := []struct {
		method, path string
		// size is the size of the response body, in bytes.
		size int64
	}{
		{http.MethodPost, targetapi.PathBooking, targetapi.BookingSize},
		{http.MethodGet, targetapi.PathFile + "?size=100000", 100_000},
		{http.MethodGet, targetapi.PathFeed + "?blocks=3&interval_ms=1", 3 * targetapi.BlockSize},
	}
	for i, test := range cases {
		nonce := fmt.Sprintf("nonce-%d", i)
		response, body, err := send(t, test.method, server.URL+test.path, map[string]string{targetapi.HeaderNonce: nonce})
		require.NoError(t, err)
		require.Equal(t, nonce, response.Header.Get(targetapi.HeaderNonce))
		require.Equal(t, expectedBody(t, nonce, test.size), body)
		require.Equal(t, 1, target.Ledger().RunsByNonce[nonce])
	}
}

// TestTruncatedResponseNeverEndsCleanly makes the target close its connection in the
// middle of a response. The caller must get an error and not a short body.
func TestTruncatedResponseNeverEndsCleanly(t *testing.T) {
	target, plugin := startTarget(t, warmTarget)
	server, _ := startHandler(t, Config{Target: plugin})
	for _, path := range []string{targetapi.PathFile + "?size=100000", targetapi.PathFeed + "?blocks=4&interval_ms=1"} {
		target.SetFault(standin.Fault{BreakAt: standin.StepMidAnswer})
		_, _, err := send(t, http.MethodGet, server.URL+path, map[string]string{targetapi.HeaderNonce: "n"})
		require.Error(t, err, path)
	}
}
