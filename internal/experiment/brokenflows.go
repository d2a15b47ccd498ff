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
	frozenTime = 2 * time.Second
	killSignal = syscall.SIGKILL
)

// BrokenFlows replaces every balancer gracefully, kills and freezes balancers,
// drains and replaces agents, and drains an agent while a balancer crashes, under
// load. No established flow may break.
func BrokenFlows(ctx context.Context, env Env) (Result, error) {
	running, config, err := env.deploy(ctx, deployment.Shapes()["marmot"])
	if err != nil {
		return Result{}, err
	}
	defer running.Kill()
	changes := changer{running: running, env: env}
	recorder, summary, err := underLoad(ctx, config, running.Layout, changes.run)
	if err != nil {
		return Result{}, err
	}
	if err := running.Stop(); err != nil {
		return Result{}, Error.Wrap(err)
	}
	var result Result
	result.AtMost("broken_flows", float64(summary.BrokenFlows), 0)
	result.AtMost("wrong", float64(summary.Wrong), 0)
	result.AtMost("doubled", float64(summary.DuplicateRuns), 0)
	result.AtMost("false_not_run", float64(summary.FalseNotRun), 0)
	result.AtLeast("changes", float64(changes.count), 1)
	result.AtLeast("answered", float64(summary.Answered), 1)
	result.Info("sent", float64(summary.Sent))
	result.Info("unknown", float64(summary.Unknown))
	result.Info("refused_not_run", float64(summary.RefusedNotRun))
	result.Info("p99_ms", summary.P99MS)
	result.Detail = failures(recorder)
	return result, nil
}

// changer replaces, kills and freezes processes of a fleet and counts the changes.
type changer struct {
	running *fleet.Fleet
	env     Env
	count   int
}

func (c *changer) run(ctx context.Context) error {
	balancers := c.running.ProcessNames("lb-")
	agents := c.running.ProcessNames("booking-feed-")
	settle := c.env.scaled(time.Second)
	for _, name := range balancers {
		if err := c.replace(ctx, name, syscall.SIGTERM); err != nil {
			return err
		}
		pause(ctx, settle)
	}
	if err := c.replace(ctx, balancers[0], syscall.SIGKILL); err != nil {
		return err
	}
	pause(ctx, settle)
	if err := c.freeze(ctx, balancers[1]); err != nil {
		return err
	}
	pause(ctx, settle)
	for _, name := range agents[:2] {
		if err := c.replace(ctx, name, syscall.SIGTERM); err != nil {
			return err
		}
	}
	return c.drainDuringCrash(ctx, balancers[2], agents[2])
}

func (c *changer) replace(ctx context.Context, name string, signal syscall.Signal) error {
	c.count++
	return Error.Wrap(c.running.Restart(ctx, name, signal))
}

func (c *changer) freeze(ctx context.Context, name string) error {
	c.count++
	if err := c.running.Signal(name, syscall.SIGSTOP); err != nil {
		return Error.Wrap(err)
	}
	pause(ctx, frozenTime)
	return Error.Wrap(c.running.Signal(name, syscall.SIGCONT))
}

// drainDuringCrash drains and replaces an agent while a balancer is killed.
func (c *changer) drainDuringCrash(ctx context.Context, balancer, agent string) error {
	drained := make(chan error, 1)
	go func() { drained <- c.running.Restart(ctx, agent, syscall.SIGTERM) }()
	if err := c.replace(ctx, balancer, syscall.SIGKILL); err != nil {
		return err
	}
	c.count++
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
