package packetnode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/observe"
	"github.com/balsamlink/balsamlink/internal/underlay"
)

const (
	// memoryShare is the fraction of the process's memory that the heap may grow
	// to; the rest is for buffers that the garbage collector does not manage.
	memoryShare = 0.7
	// requestTimeout limits the time to read an HTTP request and the time to
	// write its response.
	requestTimeout = 2 * time.Second
	// idleTimeout is how long an HTTP connection is kept between two requests.
	idleTimeout = 30 * time.Second
	// maxHeaderBytes is the maximum size of the header of an HTTP request.
	maxHeaderBytes = 8 << 10
	// shutdownTimeout limits the wait for open HTTP requests at shutdown.
	shutdownTimeout = 100 * time.Millisecond
	// drainReserve is the fraction of the grace time that is reserved for
	// stopping after the drain.
	drainReserve = 0.2
)

// Base is what the processes of both roles have in common.
type Base struct {
	Settings Settings
	Underlay underlay.Underlay
	Metrics  *observe.MetricSet
	Log      *logrus.Entry

	// part is the underlay plug-in as a part of the process.
	part kernel.Part
}

// RoleModule is the module of one role: balancer or agent.
type RoleModule interface {
	kernel.Module
	// Name names the module in logs and errors.
	Name() string
	// Apply applies settings that have changed while the process runs.
	Apply(settings Settings)
}

// Run runs a process of a role until ctx is cancelled and the process has
// drained.
func Run(ctx context.Context, settings Settings, log *logrus.Entry, newModule func(*Base) (RoleModule, error)) error {
	base, module, err := assemble(settings, log, newModule)
	if err != nil {
		return err
	}
	return base.run(ctx, module)
}

// Check validates the settings of a role without opening any socket.
func Check(settings Settings, log *logrus.Entry, newModule func(*Base) (RoleModule, error)) error {
	base, module, err := assemble(settings, log, newModule)
	if err != nil {
		return err
	}
	return kernel.Check(log, base.parts(module))
}

// assemble creates the parts of a process.
func assemble(settings Settings, log *logrus.Entry, newModule func(*Base) (RoleModule, error)) (*Base, RoleModule, error) {
	base, err := newBase(settings, log)
	if err != nil {
		return nil, nil, err
	}
	module, err := newModule(base)
	if err != nil {
		return nil, nil, kernel.Usage(err)
	}
	return base, module, nil
}

// newBase loads the underlay plug-in.
func newBase(settings Settings, log *logrus.Entry) (*Base, error) {
	plugin, part, err := kernel.NewPart[underlay.Underlay](
		kernel.KindUnderlay, settings.Underlay.Plugin, "underlay.settings", settings.Underlay.Settings)
	if err != nil {
		return nil, err
	}
	metricSet := observe.NewMetricSet()
	return &Base{Settings: settings, Underlay: plugin, Metrics: metricSet, Log: log, part: part}, nil
}

func (b *Base) parts(module RoleModule) []kernel.Part {
	return []kernel.Part{b.part, {Name: module.Name(), Module: module}}
}

func (b *Base) run(ctx context.Context, module RoleModule) error {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go b.watchSettings(watchCtx, module.Apply)
	debug.SetMemoryLimit(int64(memoryShare * float64(b.Settings.MemoryMegabytes<<20)))
	b.Log.WithFields(logrus.Fields{
		"node": b.Settings.Name, "vm": b.Settings.VM, "zone": b.Settings.Zone, "part": module.Name(),
	}).Info("process_starting")
	err := kernel.Run(ctx, kernel.Options{
		Log:          b.Log,
		Metrics:      b.Metrics,
		DrainTimeout: time.Duration(float64(b.Settings.Grace()) * (1 - drainReserve)),
	}, b.parts(module))
	b.Log.WithField("error", err).Info("process_stopped")
	return err
}

// HTTPServer is an HTTP server for a small number of clients.
type HTTPServer struct {
	server *http.Server
	done   chan struct{}
}

// Serve starts an HTTP server on a TCP address.
func Serve(address netip.AddrPort, handler http.Handler, log *logrus.Entry) (*HTTPServer, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, Error.New("listening for HTTP at %s: %v", address, err)
	}
	s := &HTTPServer{
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: requestTimeout,
			ReadTimeout:       requestTimeout,
			WriteTimeout:      requestTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
		done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).WithField("address", address).Error("calls_not_served")
		}
	}()
	return s, nil
}

// Close stops the server. It waits up to shutdownTimeout for open requests. It does
// nothing on a nil server.
func (s *HTTPServer) Close() error {
	if s == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		return Error.Wrap(s.server.Close())
	}
	<-s.done
	return nil
}
