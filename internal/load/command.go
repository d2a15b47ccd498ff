package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/standin/deployment"
)

// Command returns the command "load" of balsamdev.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send a mixed load, verify every answer and print a summary that ends with a JSON line",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "folder", Usage: "`FOLDER` of a deployment written by balsamdev, used instead of --service, --target and --authority; its tokens are added to those of --token"},
			&cli.StringSliceFlag{Name: "service", Usage: "`NAME=IP:PORT` of a service (repeatable)"},
			&cli.StringSliceFlag{Name: "target", Usage: "`IP:PORT` of a stand-in target whose ledger is checked (repeatable)"},
			&cli.StringFlag{Name: "authority", Usage: "PEM `FILE` with the certificate authority of the services"},
			&cli.StringSliceFlag{Name: "token", Usage: "bearer token of callers (repeatable)"},
			&cli.IntFlag{Name: "feeds", Usage: "number of callers that request feeds", Value: 8},
			&cli.IntFlag{Name: "files", Usage: "number of callers that request files", Value: 8},
			&cli.IntFlag{Name: "bookings", Usage: "number of callers that send bookings", Value: 8},
			&cli.DurationFlag{Name: "duration", Usage: "time after which no new request starts", Value: 10 * time.Second},
			&cli.IntFlag{Name: "max-requests", Usage: "maximum number of requests per caller", Value: 10_000},
			&cli.DurationFlag{Name: "pause", Usage: "mean time between two requests of a caller", Value: 50 * time.Millisecond},
			&cli.DurationFlag{Name: "timeout", Usage: "time limit of one request", Value: 30 * time.Second},
			&cli.Int64Flag{Name: "file-size", Usage: "size of a requested file in bytes", Value: 256 << 10},
			&cli.IntFlag{Name: "feed-blocks", Usage: "number of blocks in a feed", Value: 50},
			&cli.DurationFlag{Name: "feed-interval", Usage: "time between two blocks of a feed", Value: 50 * time.Millisecond},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random number generator", Value: 1},
		},
		Action: runCommand,
	}
}

func runCommand(ctx context.Context, command *cli.Command) error {
	config, targets, err := parseConfig(command)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	recorder, err := Run(ctx, config, terminalProgress(os.Stderr))
	if err != nil {
		return err
	}
	ledger, err := FetchLedger(context.WithoutCancel(ctx), targets)
	if err != nil {
		return err
	}
	return printSummary(recorder, recorder.Summarize(ledger))
}

// parseConfig returns the configuration and the addresses of the targets whose ledgers are
// checked.
func parseConfig(command *cli.Command) (Config, []netip.AddrPort, error) {
	config := Config{
		Tokens:         command.StringSlice("token"),
		Feeds:          command.Int("feeds"),
		Files:          command.Int("files"),
		Bookings:       command.Int("bookings"),
		Duration:       command.Duration("duration"),
		MaxRequests:    command.Int("max-requests"),
		Pause:          command.Duration("pause"),
		RequestTimeout: command.Duration("timeout"),
		FileSize:       command.Int64("file-size"),
		FeedBlocks:     command.Int("feed-blocks"),
		FeedInterval:   command.Duration("feed-interval"),
		Seed:           command.Uint64("seed"),
	}
	if folder := command.String("folder"); folder != "" {
		targets, err := config.readLayout(folder)
		return config, targets, err
	}
	targets, err := config.readFlags(command)
	return config, targets, err
}

// readLayout adds the services, tokens and authorities of a deployment and
// returns the addresses of its targets.
func (c *Config) readLayout(folder string) ([]netip.AddrPort, error) {
	layout, err := deployment.ReadLayout(folder)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c.Tokens = append(c.Tokens, layout.Tokens...)
	var targets []netip.AddrPort
	for _, service := range layout.Services {
		c.Services = append(c.Services, Service{Name: service.Name, Address: service.Address})
		targets = append(targets, service.Targets...)
	}
	c.Authorities, err = Authorities(layout.Authority)
	if err != nil {
		return nil, err
	}
	return targets, c.Validate()
}

// readFlags adds the services and authorities given as flags and returns the
// addresses of the targets.
func (c *Config) readFlags(command *cli.Command) ([]netip.AddrPort, error) {
	var err error
	c.Authorities, err = Authorities(command.String("authority"))
	if err != nil {
		return nil, err
	}
	for _, text := range command.StringSlice("service") {
		service, err := parseService(text)
		if err != nil {
			return nil, err
		}
		c.Services = append(c.Services, service)
	}
	targets, err := parseAddresses(command.StringSlice("target"))
	if err != nil {
		return nil, err
	}
	return targets, c.Validate()
}

func parseService(text string) (Service, error) {
	name, address, found := strings.Cut(text, "=")
	parsed, err := netip.ParseAddrPort(address)
	if !found || err != nil {
		return Service{}, Error.New("service: %q is not NAME=IP:PORT", text)
	}
	return Service{Name: model.Service(name), Address: parsed}, nil
}

func parseAddresses(texts []string) ([]netip.AddrPort, error) {
	var parsed []netip.AddrPort
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, Error.New("target: %q is not IP:PORT", text)
		}
		parsed = append(parsed, address)
	}
	return parsed, nil
}

// terminalProgress returns a progress callback that prints to file, or nil if
// file is not a terminal.
func terminalProgress(file *os.File) func(*Recorder) {
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(r *Recorder) {
		r.mu.Lock()
		sent, ended := r.sent, len(r.requests)
		r.mu.Unlock()
		fmt.Fprintf(file, "\rsent %d, ended %d ", sent, ended)
	}
}

// maxPrintedFailures is the maximum number of requests without a correct response that are
// printed.
const maxPrintedFailures = 10

// printSummary prints the first requests without a correct response and the summary, and
// returns an error if the summary is not clean.
func printSummary(recorder *Recorder, summary Summary) error {
	printed := 0
	for _, request := range recorder.Requests() {
		if request.Result == ResultAnswered || printed >= maxPrintedFailures {
			continue
		}
		printed++
		fmt.Printf("%s %s %s at %s after %s: %s: %s\n", request.Service, request.Kind, request.Nonce,
			request.Start.Round(time.Millisecond), request.Latency.Round(time.Millisecond), request.Result, request.Error)
	}
	line, err := json.Marshal(summary)
	if err != nil {
		return Error.Wrap(err)
	}
	fmt.Println(string(line))
	if !summary.Clean() {
		return Error.New("wrong answers, broken flows, duplicate runs or false not-run refusals occurred; see the summary")
	}
	return nil
}
