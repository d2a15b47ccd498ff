package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/observe"
)

const (
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 5 * time.Second
	// drainTimeout bounds the shutdown of the HTTP server.
	drainTimeout = time.Second
)

// server runs a Service as a module of a process.
type server struct {
	address string
	env     kernel.Env
	service *Service
	http    http.Server
}

// Command returns the command "platform" of balsamdev.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the stand-in for the platform's key-value service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "TCP `ADDRESS` to listen on", Required: true},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			log, err := observe.NewLog(os.Stderr, "")
			if err != nil {
				return err
			}
			part := kernel.Part{Name: "platform", Module: &server{address: command.String("listen")}}
			options := kernel.Options{Log: log, DrainTimeout: drainTimeout}
			return kernel.Run(ctx, options, []kernel.Part{part})
		},
	}
}

// Provision implements kernel.Module.
func (s *server) Provision(env kernel.Env, _ json.RawMessage) error {
	s.env = env
	s.service = New()
	s.http = http.Server{Handler: s.service, ReadHeaderTimeout: headerTimeout}
	return nil
}

// Validate implements kernel.Module.
func (s *server) Validate() error { return nil }

// Start implements kernel.Module.
func (s *server) Start(context.Context) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return Error.New("listen %s: %v", s.address, err)
	}
	s.env.Log.WithField("address", listener.Addr()).Info("platform_listening")
	go s.serve(listener)
	return nil
}

func (s *server) serve(listener net.Listener) {
	if err := s.http.Serve(listener); err != http.ErrServerClosed {
		s.env.Fail(Error.Wrap(err))
	}
}

// Drain implements kernel.Module. It first injects an outage, which ends pending
// watches; the HTTP server would otherwise wait for them.
func (s *server) Drain(ctx context.Context) error {
	s.service.Inject(Faults{Outage: OutageRefuse})
	return Error.Wrap(s.http.Shutdown(ctx))
}

// Stop implements kernel.Module.
func (s *server) Stop() error { return Error.Wrap(s.http.Close()) }
