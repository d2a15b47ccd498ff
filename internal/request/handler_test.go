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

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// startTarget runs a stand-in target and a plug-in that stands before it.
func startTarget(t *testing.T, config standin.Config) (*standin.Target, *http1.Module) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	double := standin.New(config)
	go double.Serve(listener)
	t.Cleanup(func() { double.Close() })
	return double, plugin(t, listener.Addr().String(), config.Slots)
}

func plugin(t *testing.T, address string, slots int) *http1.Module {
	module := &http1.Module{}
	settings, err := json.Marshal(map[string]any{"address": address, "slots": slots})
	require.NoError(t, err)
	require.NoError(t, module.Provision(kernel.Env{Log: quiet()}, settings))
	require.NoError(t, module.Validate())
	require.NoError(t, module.Start(context.Background()))
	t.Cleanup(func() { module.Stop() })
	return module
}

func serveHandler(t *testing.T, config Config) (*httptest.Server, *Handler) {
	config.Log = quiet()
	handler := New(config)
	t.Cleanup(handler.Close)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server, handler
}

// ask sends one request and returns its answer with the body read.
func ask(t *testing.T, method, url string, header map[string]string) (*http.Response, []byte, error) {
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

func wholeBody(t *testing.T, nonce string, size int64) []byte {
	body, err := io.ReadAll(targetapi.Body(nonce, size))
	require.NoError(t, err)
	return body
}

var warm = standin.Config{Slots: 8, ColdCapacity: 8, ServiceTime: time.Millisecond}

func TestAnswersAreWholeAndTheirOwn(t *testing.T) {
	double, module := startTarget(t, warm)
	server, _ := serveHandler(t, Config{Target: module})
	paths := []struct {
		method, path string
		size         int64
	}{
		{http.MethodPost, targetapi.PathBooking, targetapi.BookingSize},
		{http.MethodGet, targetapi.PathFile + "?size=100000", 100_000},
		{http.MethodGet, targetapi.PathFeed + "?blocks=3&interval_ms=1", 3 * targetapi.BlockSize},
	}
	for i, p := range paths {
		nonce := fmt.Sprintf("nonce-%d", i)
		response, body, err := ask(t, p.method, server.URL+p.path, map[string]string{targetapi.HeaderNonce: nonce})
		require.NoError(t, err)
		require.Equal(t, nonce, response.Header.Get(targetapi.HeaderNonce))
		require.Equal(t, wholeBody(t, nonce, p.size), body)
		require.Equal(t, 1, double.Ledger().RunsByNonce[nonce])
	}
}

func TestAnswerCutShortNeverEndsCleanly(t *testing.T) {
	double, module := startTarget(t, warm)
	server, _ := serveHandler(t, Config{Target: module})
	for _, path := range []string{targetapi.PathFile + "?size=100000", targetapi.PathFeed + "?blocks=4&interval_ms=1"} {
		double.SetFault(standin.Fault{BreakAt: standin.StepMidAnswer})
		_, _, err := ask(t, http.MethodGet, server.URL+path, map[string]string{targetapi.HeaderNonce: "n"})
		require.Error(t, err, path)
	}
}
