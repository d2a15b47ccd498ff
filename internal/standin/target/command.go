package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

// shutdownTimeout bounds how long open requests may run after a stop signal.
const shutdownTimeout = 10 * time.Second

// Command returns the command "target" of balsamdev, which runs a stand-in target
// until SIGTERM or SIGINT.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run a stand-in target",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "TCP address to listen on"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "maximum concurrent requests"},
			&cli.DurationFlag{Name: "service", Value: 20 * time.Millisecond, Usage: "service time of one request when warm"},
			&cli.IntFlag{Name: "cold", Value: 1, Usage: "concurrent requests that a cold target sustains"},
			&cli.FloatFlag{Name: "cold-factor", Value: 4, Usage: "factor on the service time when cold"},
			&cli.DurationFlag{Name: "warming", Usage: "time from cold to warm; 0 starts warm"},
			&cli.IntFlag{Name: "warming-work", Usage: "requests that must also be served to become warm"},
			&cli.DurationFlag{Name: "patience", Usage: "time above the sustainable concurrency before a collapse"},
			&cli.DurationFlag{Name: "collapse", Value: 3 * time.Second, Usage: "duration of a collapse"},
			&cli.DurationFlag{Name: "health-lag", Usage: "delay of the state that the health endpoint shows"},
		},
		Action: run,
	}
}

func run(ctx context.Context, command *cli.Command) error {
	config, err := parseConfig(command)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := net.Listen("tcp", command.String("listen"))
	if err != nil {
		return Error.New("listen: %v", err)
	}
	logrus.WithField("address", listener.Addr()).Info("event=target_ready")
	t := New(config)
	served := make(chan error, 1)
	go func() { served <- t.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err = t.Shutdown(shutdownCtx)
	if serveErr := <-served; err == nil && !errors.Is(serveErr, http.ErrServerClosed) {
		err = serveErr
	}
	return err
}

func parseConfig(command *cli.Command) (Config, error) {
	config := Config{
		Slots:            command.Int("slots"),
		ServiceTime:      command.Duration("service"),
		ColdCapacity:     command.Int("cold"),
		ColdSlowdown:     command.Float("cold-factor"),
		WarmUp:           command.Duration("warming"),
		WarmUpRequests:   command.Int("warming-work"),
		CollapseAfter:    command.Duration("patience"),
		CollapseDuration: command.Duration("collapse"),
		HealthLag:        command.Duration("health-lag"),
	}
	if config.Slots < 1 {
		return Config{}, Error.New("slots: %d is below 1", config.Slots)
	}
	if config.ColdCapacity < 1 || config.ColdCapacity > config.Slots {
		return Config{}, Error.New("cold: %d is not between 1 and the number of slots", config.ColdCapacity)
	}
	return config, nil
}
