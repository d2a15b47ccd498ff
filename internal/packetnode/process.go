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
	// memoryShare is the part of the memory that the garbage collector may let the
	// heap grow to; the rest is for buffers that it does not see.
	memoryShare = 0.7
	// callHeaderTime bounds how long a caller may take for a request's header.
	callHeaderTime = 2 * time.Second
	callIdleTime   = 30 * time.Second
	maxCallHeader  = 8 << 10
	// closeTime bounds the wait for open calls at the end.
	closeTime = 100 * time.Millisecond
	// drainReserve is the part of the grace time that is kept for the end.
	drainReserve = 0.2
)

// Base is what the processes of both roles have besides their own part.
type Base struct {
	Settings Settings
	Underlay underlay.Underlay
	Counters *observe.Counters
	Log      *logrus.Entry

	part kernel.Part
}

// RoleModule is a role's own part of a process.
type RoleModule interface {
	kernel.Module
	// Name names the part in logs and errors.
	Name() string
	// Apply takes settings that have changed while the process runs.
	Apply(settings Settings)
}

// Run runs a process of a role until it is told to end.
func Run(ctx context.Context, settings Settings, log *logrus.Entry, role func(*Base) (RoleModule, error)) error {
	base, own, err := assemble(settings, log, role)
	if err != nil {
		return err
	}
	return base.run(ctx, own)
}

// Check checks the settings of a role without opening anything.
func Check(settings Settings, log *logrus.Entry, role func(*Base) (RoleModule, error)) error {
	base, own, err := assemble(settings, log, role)
	if err != nil {
		return err
	}
	return kernel.Check(log, base.parts(own))
}

func assemble(settings Settings, log *logrus.Entry, role func(*Base) (RoleModule, error)) (*Base, RoleModule, error) {
	base, err := newBase(settings, log)
	if err != nil {
		return nil, nil, err
	}
	own, err := role(base)
	if err != nil {
		return nil, nil, kernel.Usage(err)
	}
	return base, own, nil
}

// newBase fits the plug-in for the platform.
func newBase(settings Settings, log *logrus.Entry) (*Base, error) {
	edge, part, err := kernel.FitPart[underlay.Underlay](
		kernel.EdgeUnderlay, settings.Underlay.Plugin, "underlay.settings", settings.Underlay.Settings)
	if err != nil {
		return nil, err
	}
	counters := observe.NewCounters()
	return &Base{Settings: settings, Underlay: edge, Counters: counters, Log: log, part: part}, nil
}

func (b *Base) parts(own RoleModule) []kernel.Part {
	return []kernel.Part{b.part, {Name: own.Name(), Module: own}}
}

func (b *Base) run(ctx context.Context, own RoleModule) error {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	go b.watchSettings(watching, own.Apply)
	debug.SetMemoryLimit(int64(memoryShare * float64(b.Settings.MemoryMegabytes<<20)))
	b.Log.WithFields(logrus.Fields{
		"node": b.Settings.Name, "vm": b.Settings.VM, "zone": b.Settings.Zone, "part": own.Name(),
	}).Info("process_starting")
	err := kernel.Run(ctx, kernel.Options{
		Log:          b.Log,
		Counters:     b.Counters,
		DrainTimeout: time.Duration(float64(b.Settings.Grace()) * (1 - drainReserve)),
	}, b.parts(own))
	b.Log.WithField("error", err).Info("process_stopped")
	return err
}

// HTTPServer is an HTTP server for a few callers.
type HTTPServer struct {
	server *http.Server
	done   chan struct{}
}

// Serve starts an HTTP server.
func Serve(address netip.AddrPort, handler http.Handler, log *logrus.Entry) (*HTTPServer, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, Error.New("calls at %s: %v", address, err)
	}
	page := &HTTPServer{
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: callHeaderTime,
			ReadTimeout:       callHeaderTime,
			WriteTimeout:      callHeaderTime,
			IdleTimeout:       callIdleTime,
			MaxHeaderBytes:    maxCallHeader,
		},
		done: make(chan struct{}),
	}
	go func() {
		defer close(page.done)
		if err := page.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).WithField("address", address).Error("calls_not_served")
		}
	}()
	return page, nil
}

// Close stops the server. Open calls end first if they end soon.
func (p *HTTPServer) Close() error {
	if p == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	if err := p.server.Shutdown(ctx); err != nil {
		return Error.Wrap(p.server.Close())
	}
	<-p.done
	return nil
}
