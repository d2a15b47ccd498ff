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
	// repeatEvery selects every third booking to be sent again with the same
	// idempotency key on another flow.
	repeatEvery = 3
	// settleTime is the pause after each fault or change.
	settleTime = 2 * time.Second
)

// Bookings kills and restarts balancers, agents and a target, freezes an agent and a
// target, and makes the platform unavailable while bookings are sent, every third of
// them twice with the same idempotency key. The targets' ledgers show what ran.
func Bookings(ctx context.Context, env Env) (Result, error) {
	f, config, err := env.deploy(ctx, deployment.Shapes()["marmot"])
	if err != nil {
		return Result{}, err
	}
	defer f.Kill()
	config = bookingsOnly(config)
	var firstFaultAt time.Duration
	started := time.Now()
	faults := bookingFaults{processChanger: processChanger{fleet: f, env: env}}
	recorder, _, err := underLoad(ctx, config, f.Layout, func(ctx context.Context) error {
		pause(ctx, env.scaled(warmUpTime))
		firstFaultAt = time.Since(started)
		return faults.run(ctx)
	})
	if err != nil {
		return Result{}, err
	}
	ledger, err := load.FetchLedger(ctx, f.Layout.TargetAddresses())
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	load.AddLedger(&ledger, faults.killedLedger)
	summary := recorder.Summarize(ledger)
	var result Result
	result.AtMost("doubled", float64(summary.DuplicateRuns), 0)
	result.AtMost("false_not_run", float64(summary.FalseNotRun), 0)
	result.AtMost("wrong", float64(summary.Wrong), 0)
	result.AtMost("unknown_without_failure", float64(unknownBefore(recorder, firstFaultAt)), 0)
	result.AtLeast("answered", float64(summary.Answered), 1)
	result.AtLeast("repeats_refused", float64(summary.AlreadyRun), 1)
	result.Info("sent", float64(summary.Sent))
	result.Info("unknown", float64(summary.Unknown))
	result.Info("refused_not_run", float64(summary.RefusedNotRun))
	result.Info("no_flow", float64(summary.NoFlow))
	result.Info("booking_p99_ms", summary.BookingP99MS)
	result.Detail = unknownBookings(recorder)
	return result, nil
}

// bookingsOnly returns the load with all its callers replaced by bookingCallers
// callers that send bookings, every third of them twice.
func bookingsOnly(config load.Config) load.Config {
	config.Feeds, config.Files, config.Bookings = 0, 0, bookingCallers
	config.RepeatEvery = repeatEvery
	return config
}

// bookingFaults injects one fault after the other, and finally two at once.
type bookingFaults struct {
	processChanger
	// killedLedger is the ledger of the killed target, read before it was killed.
	killedLedger target.Ledger
}

// run injects the faults of Bookings, with a pause of settleTime after each.
func (b *bookingFaults) run(ctx context.Context) error {
	// The agents of the first service, booking-feed, are named after it. The target of
	// an agent has the name of the agent with the prefix "target-".
	agents := b.fleet.ProcessNames("booking-feed-")
	balancers := b.fleet.ProcessNames("lb-")
	platformAddress := b.fleet.Layout.Platform
	steps := []func() error{
		func() error { return b.restart(ctx, agents[0], syscall.SIGKILL) },
		func() error { return b.killTarget(ctx, 1) },
		func() error { return b.freeze(ctx, agents[2]) },
		func() error { return b.freeze(ctx, "target-"+agents[3]) },
		func() error { return b.restart(ctx, balancers[0], syscall.SIGKILL) },
		func() error { return b.restart(ctx, agents[4], syscall.SIGTERM) },
		func() error {
			return setPlatformFaults(ctx, platformAddress, standin.Faults{Outage: standin.OutageRefuse})
		},
		func() error { return b.restart(ctx, agents[5], syscall.SIGKILL) },
		func() error { return setPlatformFaults(ctx, platformAddress, standin.Faults{}) },
		func() error { return b.drainDuringCrash(ctx, balancers[1], agents[6]) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
		pause(ctx, b.env.scaled(settleTime))
	}
	return nil
}

// killTarget kills and restarts a target of the first service. It reads the target's
// ledger first, because the restarted target begins with an empty one.
func (b *bookingFaults) killTarget(ctx context.Context, index int) error {
	var err error
	b.killedLedger, err = load.FetchLedger(ctx, b.fleet.Layout.Services[0].Targets[index:index+1])
	if err != nil {
		return Error.Wrap(err)
	}
	return b.restart(ctx, "target-"+b.fleet.ProcessNames("booking-feed-")[index], syscall.SIGKILL)
}

// unknownBefore counts the bookings of unknown outcome that ended before the first
// fault was injected, firstFaultAt after the start of the load.
func unknownBefore(recorder *load.Recorder, firstFaultAt time.Duration) int {
	unknown := 0
	for _, request := range recorder.Requests() {
		if request.Result == load.ResultUnknown && request.Start+request.Latency < firstFaultAt {
			unknown++
		}
	}
	return unknown
}

// unknownBookings returns the first bookings of unknown outcome, at most
// maxFailures.
func unknownBookings(recorder *load.Recorder) []load.Request {
	var found []load.Request
	for _, request := range recorder.Requests() {
		if request.Result == load.ResultUnknown && len(found) < maxFailures {
			found = append(found, request)
		}
	}
	return found
}

// Billing sends a mixed load while balancers and an agent are restarted gracefully,
// then stops all nodes and compares the metered units with the answers that the
// callers recorded. The two must match exactly.
func Billing(ctx context.Context, env Env) (Result, error) {
	f, config, err := env.deploy(ctx, deployment.Shapes()["marmot"])
	if err != nil {
		return Result{}, err
	}
	defer f.Kill()
	recorder, _, err := underLoad(ctx, config, f.Layout, func(ctx context.Context) error {
		pause(ctx, env.scaled(settleTime))
		changes := processChanger{fleet: f, env: env}
		for _, name := range append(f.ProcessNames("lb-"), f.ProcessNames("booking-feed-")[0]) {
			if err := changes.restart(ctx, name, syscall.SIGTERM); err != nil {
				return err
			}
			pause(ctx, env.scaled(settleTime))
		}
		return nil
	})
	if err != nil {
		return Result{}, err
	}
	if err := f.StopNodes(); err != nil {
		return Result{}, Error.Wrap(err)
	}
	metered, err := meteredUnits(ctx, f.Layout)
	if err != nil {
		return Result{}, err
	}
	answered := answeredUnits(recorder)
	var result Result
	result.AtMost("units_metered_but_not_answered", excess(metered, answered), 0)
	result.AtMost("units_answered_but_not_metered", excess(answered, metered), 0)
	result.AtLeast("units_answered", total(answered), 1)
	result.Info("units_metered", total(metered))
	result.Info("customers_and_services", float64(len(answered)))
	return result, nil
}

// account identifies one customer's usage of one service by the customer's bearer
// token.
type account struct {
	token   string
	service string
}

// answeredUnits counts the complete answers that the callers recorded.
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

// excess returns the number of units by which the accounts in a exceed those in b.
// Accounts with fewer units in a than in b count as 0.
func excess(a, b map[account]uint64) float64 {
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
