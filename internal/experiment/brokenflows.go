package experiment

import (
	"context"
	"syscall"
	"time"

	"github.com/balsamlink/balsamlink/internal/load"
	"github.com/balsamlink/balsamlink/internal/standin/deployment"
	"github.com/balsamlink/balsamlink/internal/standin/fleet"
)

func init() { Register("broken-flows", BrokenFlows) }

const (
	// freezeTime is how long a frozen process is stopped.
	freezeTime = 2 * time.Second
	killSignal = syscall.SIGKILL
)

// BrokenFlows restarts every balancer gracefully, kills one balancer and freezes
// another, drains and restarts agents, and drains an agent while a balancer crashes,
// under load. No established flow may break.
func BrokenFlows(ctx context.Context, env Env) (Result, error) {
	f, config, err := env.deploy(ctx, deployment.Shapes()["marmot"])
	if err != nil {
		return Result{}, err
	}
	defer f.Kill()
	changes := processChanger{fleet: f, env: env}
	recorder, summary, err := underLoad(ctx, config, f.Layout, changes.runBrokenFlows)
	if err != nil {
		return Result{}, err
	}
	if err := f.Stop(); err != nil {
		return Result{}, Error.Wrap(err)
	}
	var result Result
	result.AtMost("broken_flows", float64(summary.BrokenFlows), 0)
	result.AtMost("wrong", float64(summary.Wrong), 0)
	result.AtMost("doubled", float64(summary.DuplicateRuns), 0)
	result.AtMost("false_not_run", float64(summary.FalseNotRun), 0)
	result.AtLeast("changes", float64(changes.changeCount), 1)
	result.AtLeast("answered", float64(summary.Answered), 1)
	result.Info("sent", float64(summary.Sent))
	result.Info("unknown", float64(summary.Unknown))
	result.Info("refused_not_run", float64(summary.RefusedNotRun))
	result.Info("p99_ms", summary.P99MS)
	result.Detail = failures(recorder)
	return result, nil
}

// processChanger restarts and freezes processes of a fleet and counts these changes.
type processChanger struct {
	fleet       *fleet.Fleet
	env         Env
	changeCount int
}

// runBrokenFlows runs the steps of BrokenFlows.
func (c *processChanger) runBrokenFlows(ctx context.Context) error {
	balancers := c.fleet.ProcessNames("lb-")
	agents := c.fleet.ProcessNames("booking-feed-")
	settle := c.env.scaled(time.Second)
	for _, name := range balancers {
		if err := c.restart(ctx, name, syscall.SIGTERM); err != nil {
			return err
		}
		pause(ctx, settle)
	}
	if err := c.restart(ctx, balancers[0], syscall.SIGKILL); err != nil {
		return err
	}
	pause(ctx, settle)
	if err := c.freeze(ctx, balancers[1]); err != nil {
		return err
	}
	pause(ctx, settle)
	for _, name := range agents[:2] {
		if err := c.restart(ctx, name, syscall.SIGTERM); err != nil {
			return err
		}
	}
	return c.drainDuringCrash(ctx, balancers[2], agents[2])
}

// restart ends a process with a signal, starts it again and waits until it is ready.
func (c *processChanger) restart(ctx context.Context, name string, signal syscall.Signal) error {
	c.changeCount++
	return Error.Wrap(c.fleet.Restart(ctx, name, signal))
}

// freeze stops a process with SIGSTOP for freezeTime.
func (c *processChanger) freeze(ctx context.Context, name string) error {
	c.changeCount++
	if err := c.fleet.Signal(name, syscall.SIGSTOP); err != nil {
		return Error.Wrap(err)
	}
	pause(ctx, freezeTime)
	return Error.Wrap(c.fleet.Signal(name, syscall.SIGCONT))
}

// drainDuringCrash drains and restarts an agent while a balancer is killed and
// restarted.
func (c *processChanger) drainDuringCrash(ctx context.Context, balancer, agent string) error {
	drained := make(chan error, 1)
	go func() { drained <- c.fleet.Restart(ctx, agent, syscall.SIGTERM) }()
	if err := c.restart(ctx, balancer, syscall.SIGKILL); err != nil {
		return err
	}
	c.changeCount++
	return Error.Wrap(<-drained)
}

// maxFailures is the maximum number of failed requests in a result.
const maxFailures = 20

// failures returns the first requests, at most maxFailures, that got a wrong answer,
// whose flow broke, or for which no flow could be opened.
func failures(recorder *load.Recorder) []load.Request {
	var failed []load.Request
	for _, request := range recorder.Requests() {
		bad := request.Result == load.ResultBroken || request.Result == load.ResultWrong || request.Result == load.ResultNoFlow
		if bad && len(failed) < maxFailures {
			failed = append(failed, request)
		}
	}
	return failed
}
