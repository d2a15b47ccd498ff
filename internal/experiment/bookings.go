package experiment

import (
	"context"
	"encoding/json"
	"syscall"
	"time"

	"github.com/balsamlink/balsamlink/internal/billing"
	"github.com/balsamlink/balsamlink/internal/load"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/standin/deployment"
	standin "github.com/balsamlink/balsamlink/internal/standin/platform"
	"github.com/balsamlink/balsamlink/internal/standin/target"
)

func init() {
	Register("bookings", Bookings)
	Register("billing", Billing)
}

const (
	bookingCallers = 12
	// Every repeatEvery-th booking is sent again with the same key through another
	// flow.
	repeatEvery = 3
	settleTime  = 2 * time.Second
)

// Bookings kills and freezes a balancer, agents and a target and takes the
// platform down while bookings are sent, a third of them twice with one key. The
// targets' ledgers tell what ran.
func Bookings(ctx context.Context, env Env) (Result, error) {
	running, config, err := env.deploy(ctx, deployment.Shapes()["marmot"])
	if err != nil {
		return Result{}, err
	}
	defer running.Kill()
	config = bookingsOnly(config)
	var quiet time.Duration
	begin := time.Now()
	faults := bookingFaults{changer: changer{running: running, env: env}}
	recorder, _, err := underLoad(ctx, config, running.Layout, func(ctx context.Context) error {
		pause(ctx, env.scaled(warmUpTime))
		quiet = time.Since(begin)
		return faults.run(ctx)
	})
	if err != nil {
		return Result{}, err
	}
	ledger, err := load.FetchLedger(ctx, running.Layout.TargetAddresses())
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	load.AddLedger(&ledger, faults.lost)
	summary := recorder.Summarize(ledger)
	var result Result
	result.AtMost("doubled", float64(summary.Doubled), 0)
	result.AtMost("false_not_run", float64(summary.FalseNotRun), 0)
	result.AtMost("wrong", float64(summary.Wrong), 0)
	result.AtMost("unknown_without_failure", float64(unknownBefore(recorder, quiet)), 0)
	result.AtLeast("answered", float64(summary.Answered), 1)
	result.AtLeast("repeats_refused", float64(summary.AlreadyRun), 1)
	result.Info("sent", float64(summary.Sent))
	result.Info("unknown", float64(summary.Unknown))
	result.Info("refused_not_run", float64(summary.RefusedNotRun))
	result.Info("no_flow", float64(summary.NoFlow))
	result.Info("booking_p99_ms", summary.BookingP99MS)
	result.Detail = unknowns(recorder)
	return result, nil
}

// bookingsOnly makes a load one of bookings, some of them sent twice.
func bookingsOnly(config load.Config) load.Config {
	config.Feeds, config.Files, config.Bookings = 0, 0, bookingCallers
	config.RepeatEvery = repeatEvery
	return config
}

// bookingFaults breaks one thing after the other, and two at once.
type bookingFaults struct {
	changer
	// lost is what the killed target had run.
	lost target.Ledger
}

func (b *bookingFaults) run(ctx context.Context) error {
	agents := b.running.ProcessNames("booking-feed-")
	balancers := b.running.ProcessNames("lb-")
	platformAt := b.running.Layout.Platform
	steps := []func() error{
		func() error { return b.replace(ctx, agents[0], syscall.SIGKILL) },
		func() error { return b.killTarget(ctx, 1) },
		func() error { return b.freeze(ctx, agents[2]) },
		func() error { return b.freeze(ctx, "target-"+agents[3]) },
		func() error { return b.replace(ctx, balancers[0], syscall.SIGKILL) },
		func() error { return b.replace(ctx, agents[4], syscall.SIGTERM) },
		func() error { return inject(ctx, platformAt, standin.Faults{Outage: standin.OutageRefuse}) },
		func() error { return b.replace(ctx, agents[5], syscall.SIGKILL) },
		func() error { return inject(ctx, platformAt, standin.Faults{}) },
		func() error { return b.twoAtOnce(ctx, balancers[1], agents[6]) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
		pause(ctx, b.env.scaled(settleTime))
	}
	return nil
}

// killTarget kills a target of the first service. Its ledger is read just
// before, so that what it had run still counts.
func (b *bookingFaults) killTarget(ctx context.Context, number int) error {
	var err error
	b.lost, err = load.FetchLedger(ctx, b.running.Layout.Services[0].Targets[number:number+1])
	if err != nil {
		return Error.Wrap(err)
	}
	return b.replace(ctx, "target-"+b.running.ProcessNames("booking-feed-")[number], syscall.SIGKILL)
}

// unknownBefore counts the bookings of unknown outcome that ended before
// anything failed.
func unknownBefore(recorder *load.Recorder, quiet time.Duration) int {
	unknown := 0
	for _, request := range recorder.Requests() {
		if request.Result == load.ResultUnknown && request.Start+request.Latency < quiet {
			unknown++
		}
	}
	return unknown
}

// unknowns returns the first bookings of unknown outcome.
func unknowns(recorder *load.Recorder) []load.Request {
	var found []load.Request
	for _, request := range recorder.Requests() {
		if request.Result == load.ResultUnknown && len(found) < maxFailures {
			found = append(found, request)
		}
	}
	return found
}

// Billing sends a mixed load, replaces balancers and an agent gracefully
// meanwhile, stops everything, and compares the metering totals with the
// callers' own record, to the unit.
func Billing(ctx context.Context, env Env) (Result, error) {
	running, config, err := env.deploy(ctx, deployment.Shapes()["marmot"])
	if err != nil {
		return Result{}, err
	}
	defer running.Kill()
	recorder, _, err := underLoad(ctx, config, running.Layout, func(ctx context.Context) error {
		pause(ctx, env.scaled(settleTime))
		c := changer{running: running, env: env}
		for _, name := range append(running.ProcessNames("lb-"), running.ProcessNames("booking-feed-")[0]) {
			if err := c.replace(ctx, name, syscall.SIGTERM); err != nil {
				return err
			}
			pause(ctx, env.scaled(settleTime))
		}
		return nil
	})
	if err != nil {
		return Result{}, err
	}
	if err := running.StopNodes(); err != nil {
		return Result{}, Error.Wrap(err)
	}
	metered, err := meteredUnits(ctx, running.Layout)
	if err != nil {
		return Result{}, err
	}
	answered := answeredUnits(recorder)
	var result Result
	result.AtMost("units_metered_but_not_answered", difference(metered, answered), 0)
	result.AtMost("units_answered_but_not_metered", difference(answered, metered), 0)
	result.AtLeast("units_answered", total(answered), 1)
	result.Info("units_metered", total(metered))
	result.Info("customers_and_services", float64(len(answered)))
	return result, nil
}

// account is one customer's use of one service.
type account struct {
	token   string
	service string
}

// answeredUnits counts the whole answers in the callers' own record.
func answeredUnits(recorder *load.Recorder) map[account]uint64 {
	units := map[account]uint64{}
	for _, request := range recorder.Requests() {
		if request.Result == load.ResultAnswered {
			units[account{request.Token, request.Service}]++
		}
	}
	return units
}

// meteredUnits reads the metering totals from the platform.
func meteredUnits(ctx context.Context, layout deployment.Layout) (map[account]uint64, error) {
	operator, err := layout.Operator()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer operator.Close()
	entries, err := operator.Store.List(ctx, "metering/")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	units := map[account]uint64{}
	for _, entry := range entries {
		if err := addTotals(units, entry); err != nil {
			return nil, err
		}
	}
	return units, nil
}

func addTotals(units map[account]uint64, entry platform.Entry) error {
	var totals billing.Totals
	if err := json.Unmarshal(entry.Value, &totals); err != nil {
		return Error.New("%s: %v", entry.Key, err)
	}
	for _, used := range totals.Used {
		units[account{deployment.TokenOf(used.Customer), string(used.Service)}] += used.Units
	}
	return nil
}

// difference adds up how far a is above b.
func difference(a, b map[account]uint64) float64 {
	sum := 0.0
	for key, units := range a {
		if units > b[key] {
			sum += float64(units - b[key])
		}
	}
	return sum
}

func total(units map[account]uint64) float64 {
	sum := 0.0
	for _, n := range units {
		sum += float64(n)
	}
	return sum
}
