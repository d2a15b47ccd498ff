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

const shutdownTimeout = 10 * time.Second

// Command returns the verb that runs a stand-in target until it is told to end.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run a stand-in target",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "TCP address"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "requests at once"},
			&cli.DurationFlag{Name: "service", Value: 20 * time.Millisecond, Usage: "time of one request"},
			&cli.IntFlag{Name: "cold", Value: 1, Usage: "requests at once when cold"},
			&cli.FloatFlag{Name: "cold-factor", Value: 4, Usage: "times slower when cold"},
			&cli.DurationFlag{Name: "warming", Usage: "time from cold to warm; 0 starts warm"},
			&cli.IntFlag{Name: "warming-work", Usage: "requests that warming needs besides"},
			&cli.DurationFlag{Name: "patience", Usage: "time of too much work before a collapse"},
			&cli.DurationFlag{Name: "collapse", Value: 3 * time.Second, Usage: "time that a collapse lasts"},
			&cli.DurationFlag{Name: "health-lag", Usage: "age of the answers of the health endpoint"},
		},
		Action: run,
	}
}

func run(ctx context.Context, command *cli.Command) error {
	config, err := configOf(command)
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
	ended := make(chan error, 1)
	go func() { ended <- t.Serve(listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err = t.Shutdown(shutdown)
	if served := <-ended; err == nil && !errors.Is(served, http.ErrServerClosed) {
		err = served
	}
	return err
}

func configOf(command *cli.Command) (Config, error) {
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
		return Config{}, Error.New("cold: %d is not between 1 and the slots", config.ColdCapacity)
	}
	return config, nil
}
