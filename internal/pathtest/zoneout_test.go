package pathtest

import (
	"context"
	"crypto/tls"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/agent"
	"github.com/balsamlink/balsamlink/internal/standin/mtls"
	"github.com/balsamlink/balsamlink/internal/steering"
)

// slowHandler counts the requests that run, and finishes them when release is closed.
type slowHandler struct {
	ran     atomic.Int64
	started chan struct{}
	release chan struct{}
}

func (*slowHandler) Occupancy() steering.Occupancy {
	return steering.Occupancy{Limit: 8, AcceptsNewFlows: true}
}

func (h *slowHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	h.ran.Add(1)
	h.started <- struct{}{}
	<-h.release
	w.WriteHeader(http.StatusCreated)
}

// An HTTP/3 client sends a request again by itself if its flow was closed with
// H3_REQUEST_REJECTED, which says that the request has not run. A flow on which a request
// runs must therefore be closed with another code when its zone goes out of service.
func TestZoneGoingOutOfServiceDoesNotRepeatARunningRequest(t *testing.T) {
	handler := &slowHandler{started: make(chan struct{}, 8), release: make(chan struct{})}
	p := startPath(t, 1, 1, handler)
	t.Cleanup(func() { close(handler.release) })
	transport := &http3.Transport{TLSClientConfig: &tls.Config{RootCAs: p.authorities, ServerName: mtls.ServerName}}
	defer transport.Close()

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	result := make(chan error, 1)
	go func() {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+p.fabric.Services()[0].String()+"/bookings", strings.NewReader("seat"))
		if err == nil {
			var response *http.Response
			if response, err = transport.RoundTrip(request); err == nil {
				response.Body.Close()
			}
		}
		result <- err
	}()
	select {
	case <-handler.started:
	case err := <-result:
		require.FailNow(t, "the request did not run", "%v", err)
	}
	p.agents[0].SetZoneOut(true, 1)
	p.agents[0].SetZoneOut(false, 2)

	select {
	case err := <-result:
		requireClosedAfterRequest(t, err)
	case <-handler.started:
		require.FailNow(t, "the request ran again")
	}
	require.EqualValues(t, 1, handler.ran.Load())
}

// requireClosedAfterRequest checks that a request failed because its flow was closed with
// ZoneOutAfterRequestCode.
func requireClosedAfterRequest(t *testing.T, err error) {
	var closed *http3.Error
	require.ErrorAs(t, err, &closed)
	require.Equal(t, agent.ZoneOutAfterRequestCode, quic.ApplicationErrorCode(closed.ErrorCode))
}
