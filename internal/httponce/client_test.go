package httponce_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/httponce"
)

// lateCopyDelay is when a server of startRepeatingServer sends the second copy of a
// response: after the client has had time to send its next request.
const lateCopyDelay = 30 * time.Millisecond

// startRepeatingServer starts a server that answers each request with its path, and sends
// the response to the first request of each connection a second time, late. It answers
// further requests of the connection later than that.
func startRepeatingServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRepeating(conn)
		}
	}()
	return listener.Addr().String()
}

func serveRepeating(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
		if !first {
			time.Sleep(2 * lateCopyDelay)
		}
		io.WriteString(conn, response)
		if first {
			time.AfterFunc(lateCopyDelay, func() { io.WriteString(conn, response) })
		}
	}
}

// A target may send a second copy of a response when the connection is in use again. The
// next caller must not get it.
func TestLateSecondCopyOfAResponseReachesNobody(t *testing.T) {
	address := startRepeatingServer(t)
	client := httponce.New((&net.Dialer{}).DialContext)
	t.Cleanup(client.Close)
	for n := range 6 {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			path := fmt.Sprintf("/%s/%d", method, n)
			request, err := http.NewRequest(method, "http://"+address+path, nil)
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			response, err := client.Do(ctx, address, request)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			response.Body.Close()
			cancel()
			require.NoError(t, err)
			require.Equal(t, path, string(body))
		}
	}
}
