package kernel_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/observe"
)

var errBroken = errors.New("broken")

// recorder is a module that notes its steps and does what the test says.
type recorder struct {
	name  string
	steps *[]string
	mu    *sync.Mutex
	env   kernel.Env
	fail  kernel.Step
	start func(context.Context) error
	drain func(context.Context) error
	stop  func()
}

func (r *recorder) step(step kernel.Step) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	*r.steps = append(*r.steps, string(step)+" "+r.name)
	if r.fail == step {
		return errBroken
	}
	return nil
}

func (r *recorder) Provision(env kernel.Env, _ json.RawMessage) error {
	r.env = env
	return r.step(kernel.StepProvision)
}
func (r *recorder) Validate() error { return r.step(kernel.StepValidate) }
func (r *recorder) Start(ctx context.Context) error {
	err := r.step(kernel.StepStart)
	if r.start != nil {
		return r.start(ctx)
	}
	return err
}
func (r *recorder) Drain(ctx context.Context) error {
	err := r.step(kernel.StepDrain)
	if r.drain != nil {
		return r.drain(ctx)
	}
	return err
}
func (r *recorder) Stop() error {
	err := r.step(kernel.StepStop)
	if r.stop != nil {
		r.stop()
	}
	return err
}

type bench struct {
	mu      sync.Mutex
	steps   []string
	a, b    *recorder
	signals chan os.Signal
	options kernel.Options
}

func newBench(t *testing.T) *bench {
	log, err := observe.NewLog(io.Discard, "")
	require.NoError(t, err)
	b := &bench{signals: make(chan os.Signal, 2)}
	b.a = &recorder{name: "a", steps: &b.steps, mu: &b.mu}
	b.b = &recorder{name: "b", steps: &b.steps, mu: &b.mu}
	b.options = kernel.Options{Log: log, DrainTimeout: 10 * time.Second, Signals: b.signals}
	b.options.OnRunning = func() { b.signals <- syscall.SIGTERM }
	return b
}

func (b *bench) run() error {
	parts := []kernel.Part{{Name: "a", Module: b.a, Path: "a.settings"}, {Name: "b", Module: b.b}}
	return kernel.Run(context.Background(), b.options, parts)
}

// seen returns the steps so far. A stuck module may still run.
func (b *bench) seen() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.steps)
}

var wholeLife = []string{
	"provision a", "validate a", "provision b", "validate b", "start a", "start b",
	"drain b", "drain a", "stop b", "stop a",
}

func waitForEnd(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func TestSignalDrainsAndStopsInReverseOrder(t *testing.T) {
	b := newBench(t)
	err := b.run()
	require.NoError(t, err)
	require.Equal(t, kernel.ExitOK, kernel.ExitCode(err))
	require.Equal(t, wholeLife, b.seen())
	require.Equal(t, "a.settings", b.a.env.Path)
}

func TestDrainDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.b.drain = waitForEnd
		start := time.Now()
		err := b.run()
		require.ErrorIs(t, err, kernel.ErrDrainDeadline)
		require.Equal(t, kernel.ExitDrainIncomplete, kernel.ExitCode(err))
		require.Equal(t, 10*time.Second, time.Since(start))
		require.Equal(t, wholeLife, b.seen())
	})
}

func TestSecondSignalStopsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.b.drain = func(ctx context.Context) error {
			b.signals <- syscall.SIGINT
			return waitForEnd(ctx)
		}
		start := time.Now()
		err := b.run()
		require.ErrorIs(t, err, kernel.ErrSecondSignal)
		require.Equal(t, kernel.ExitDrainIncomplete, kernel.ExitCode(err))
		require.Zero(t, time.Since(start))
		require.Equal(t, wholeLife, b.seen())
	})
}

func TestStuckModulesCannotHoldTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		release := make(chan struct{})
		b.b.drain = func(context.Context) error { <-release; return nil }
		b.a.stop = func() { <-release }
		err := b.run()
		require.ErrorIs(t, err, kernel.ErrStepTimeout)
		require.ErrorIs(t, err, kernel.ErrDrainDeadline)
		require.Equal(t, wholeLife, b.seen())
		close(release)
	})
}

func TestSignalWhileStarting(t *testing.T) {
	b := newBench(t)
	b.a.start = func(ctx context.Context) error {
		b.signals <- syscall.SIGINT
		<-ctx.Done()
		return nil
	}
	err := b.run()
	require.ErrorIs(t, err, kernel.ErrInterrupted)
	require.Equal(t, kernel.ExitFailure, kernel.ExitCode(err))
	require.Equal(t, []string{"start a", "stop b", "stop a"}, b.steps[4:])
}

func TestFaultsOfEachStep(t *testing.T) {
	cases := []struct {
		step kernel.Step
		code int
		last []string
	}{
		{kernel.StepProvision, kernel.ExitUsage, []string{"provision b", "stop b", "stop a"}},
		{kernel.StepValidate, kernel.ExitUsage, []string{"validate b", "stop b", "stop a"}},
		{kernel.StepStart, kernel.ExitFailure, []string{"start b", "stop b", "stop a"}},
		{kernel.StepDrain, kernel.ExitFailure, []string{"drain b", "drain a", "stop b", "stop a"}},
		{kernel.StepStop, kernel.ExitFailure, []string{"drain b", "drain a", "stop b", "stop a"}},
	}
	for _, c := range cases {
		t.Run(string(c.step), func(t *testing.T) {
			b := newBench(t)
			b.b.fail = c.step
			err := b.run()
			var fault *kernel.StepError
			require.ErrorAs(t, err, &fault)
			require.Equal(t, "b", fault.Part)
			require.Equal(t, c.step, fault.Step)
			require.ErrorIs(t, err, errBroken)
			require.Equal(t, c.code, kernel.ExitCode(err))
			require.Equal(t, c.last, b.steps[len(b.steps)-len(c.last):])
		})
	}
}

func TestModuleThatCannotGoOnEndsTheProcessGracefully(t *testing.T) {
	b := newBench(t)
	b.options.OnRunning = func() { b.a.env.Fail(errBroken); b.a.env.Fail(errBroken) }
	err := b.run()
	require.ErrorIs(t, err, errBroken)
	require.Equal(t, kernel.ExitFailure, kernel.ExitCode(err))
	require.Equal(t, wholeLife, b.seen())
}

func TestCheckReportsTheFaultsOfAllParts(t *testing.T) {
	b := newBench(t)
	b.a.fail, b.b.fail = kernel.StepProvision, kernel.StepValidate
	parts := []kernel.Part{{Name: "a", Module: b.a}, {Name: "b", Module: b.b}}
	err := kernel.Check(b.options.Log, parts)
	require.ErrorContains(t, err, "provision a: broken")
	require.ErrorContains(t, err, "validate b: broken")
	require.Equal(t, kernel.ExitUsage, kernel.ExitCode(err))

	_, _, err = kernel.NewPart[kernel.Module](kernel.KindTarget, "none", "target.settings", nil)
	require.ErrorContains(t, err, `"none" is not known`)
	require.Equal(t, kernel.ExitUsage, kernel.ExitCode(err))
}
