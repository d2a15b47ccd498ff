package observe

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
)

// The paths of the admin endpoints.
const (
	// PathMetrics returns the metrics of the process and the variables of the
	// Go runtime.
	PathMetrics = "/debug/vars"
	// PathHealthy answers 200 while the process runs.
	PathHealthy = "/healthz"
	// PathReady answers 200 if all conditions are met, else 503 with the
	// reasons.
	PathReady = "/readyz"
)

// MetricsName is the key of the process's own metrics on the metrics page.
const MetricsName = "balsamlink"

const (
	serverReadTimeout  = 5 * time.Second
	serverWriteTimeout = 10 * time.Second
	serverIdleTimeout  = time.Minute
	// maxHeaderSize is the maximum size of a request's header, in bytes.
	maxHeaderSize = 8 << 10
)

// Server is the HTTP server of the admin endpoints. It is read-only.
type Server struct {
	listener net.Listener
	http     http.Server
	done     chan struct{}
}

// StartServer listens on an address and serves the metrics and health
// endpoints.
func StartServer(addr netip.AddrPort, metrics *MetricSet, readiness *Readiness, log *logrus.Entry) (*Server, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, Error.New("listening for the admin endpoints at %s: %v", addr, err)
	}
	server := &Server{
		listener: listener,
		http: http.Server{
			Handler:        Handler(metrics, readiness),
			ReadTimeout:    serverReadTimeout,
			WriteTimeout:   serverWriteTimeout,
			IdleTimeout:    serverIdleTimeout,
			MaxHeaderBytes: maxHeaderSize,
		},
		done: make(chan struct{}),
	}
	go server.serve(log)
	return server, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close stops the server. It waits for open requests until ctx ends.
func (s *Server) Close(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		s.http.Close()
	}
	<-s.done
	return Error.Wrap(err)
}

func (s *Server) serve(log *logrus.Entry) {
	defer close(s.done)
	if err := s.http.Serve(s.listener); err != http.ErrServerClosed {
		log.WithError(err).Error("operators_server_failed")
	}
}

// Handler returns the handler of the admin endpoints.
func Handler(metrics *MetricSet, readiness *Readiness) http.Handler {
	pages := http.NewServeMux()
	pages.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		writeMetrics(w, metrics)
	})
	pages.HandleFunc("GET "+PathHealthy, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, healthPage{Healthy: true})
	})
	pages.HandleFunc("GET "+PathReady, func(w http.ResponseWriter, _ *http.Request) {
		writeReady(w, readiness)
	})
	return pages
}

type healthPage struct {
	Healthy bool `json:"healthy"`
}

type readyPage struct {
	Ready   bool             `json:"ready"`
	Reasons []UnmetCondition `json:"reasons"`
}

func writeReady(w http.ResponseWriter, readiness *Readiness) {
	reasons := readiness.UnmetConditions()
	if len(reasons) > 0 {
		writeJSON(w, http.StatusServiceUnavailable, readyPage{Reasons: reasons})
		return
	}
	writeJSON(w, http.StatusOK, readyPage{Ready: true, Reasons: reasons})
}

func writeJSON(w http.ResponseWriter, status int, page any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// There is nothing to do when the client has closed the connection.
	_ = json.NewEncoder(w).Encode(page)
}

// writeMetrics prints the variables of the runtime in the format of expvar, and
// the process's own metrics under MetricsName.
func writeMetrics(w http.ResponseWriter, metrics *MetricSet) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\n%q: %s", MetricsName, metrics)
	expvar.Do(func(variable expvar.KeyValue) {
		fmt.Fprintf(w, ",\n%q: %s", variable.Key, variable.Value)
	})
	fmt.Fprint(w, "\n}\n")
}
