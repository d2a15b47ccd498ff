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

// recordingModule records the calls of its steps. It fails in the step named by
// failStep and runs the functions that a test sets.
type recordingModule struct {
	name     string
	steps    *[]string
	mu       *sync.Mutex
	env      kernel.Env
	failStep kernel.Step
	onStart  func(context.Context) error
	onDrain  func(context.Context) error
	onStop   func()
}

func (r *recordingModule) step(step kernel.Step) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	*r.steps = append(*r.steps, string(step)+" "+r.name)
	if r.failStep == step {
		return errBroken
	}
	return nil
}

func (r *recordingModule) Provision(env kernel.Env, _ json.RawMessage) error {
	r.env = env
	return r.step(kernel.StepProvision)
}
func (r *recordingModule) Validate() error { return r.step(kernel.StepValidate) }
func (r *recordingModule) Start(ctx context.Context) error {
	err := r.step(kernel.StepStart)
	if r.onStart != nil {
		return r.onStart(ctx)
	}
	return err
}
func (r *recordingModule) Drain(ctx context.Context) error {
	err := r.step(kernel.StepDrain)
	if r.onDrain != nil {
		return r.onDrain(ctx)
	}
	return err
}
func (r *recordingModule) Stop() error {
	err := r.step(kernel.StepStop)
	if r.onStop != nil {
		r.onStop()
	}
	return err
}

// harness runs the modules a and b. By default a SIGTERM arrives as soon as both
// have started.
type harness struct {
	mu      sync.Mutex
	steps   []string
	a, b    *recordingModule
	signals chan os.Signal
	options kernel.Options
}

func newHarness(t *testing.T) *harness {
	log, err := observe.NewLog(io.Discard, "")
	require.NoError(t, err)
	h := &harness{signals: make(chan os.Signal, 2)}
	h.a = &recordingModule{name: "a", steps: &h.steps, mu: &h.mu}
	h.b = &recordingModule{name: "b", steps: &h.steps, mu: &h.mu}
	h.options = kernel.Options{Log: log, DrainTimeout: 10 * time.Second, Signals: h.signals}
	h.options.OnRunning = func() { h.signals <- syscall.SIGTERM }
	return h
}

func (h *harness) run() error {
	parts := []kernel.Part{{Name: "a", Module: h.a, Path: "a.settings"}, {Name: "b", Module: h.b}}
	return kernel.Run(context.Background(), h.options, parts)
}

// recordedSteps returns a copy of the steps so far, because a stuck module may
// still run.
func (h *harness) recordedSteps() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.steps)
}

var fullLifecycle = []string{
	"provision a", "validate a", "provision b", "validate b", "start a", "start b",
	"drain b", "drain a", "stop b", "stop a",
}

func waitForCancel(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func TestSignalDrainsAndStopsInReverseOrder(t *testing.T) {
	h := newHarness(t)
	err := h.run()
	require.NoError(t, err)
	require.Equal(t, kernel.ExitOK, kernel.ExitCode(err))
	require.Equal(t, fullLifecycle, h.recordedSteps())
	require.Equal(t, "a.settings", h.a.env.Path)
}

// A Drain that does not end must be cancelled after the drain timeout, and the remaining
// steps must still run.
func TestDrainDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.b.onDrain = waitForCancel
		start := time.Now()
		err := h.run()
		require.ErrorIs(t, err, kernel.ErrDrainDeadline)
		require.Equal(t, kernel.ExitDrainIncomplete, kernel.ExitCode(err))
		require.Equal(t, 10*time.Second, time.Since(start))
		require.Equal(t, fullLifecycle, h.recordedSteps())
	})
}

func TestSecondSignalStopsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.b.onDrain = func(ctx context.Context) error {
			h.signals <- syscall.SIGINT
			return waitForCancel(ctx)
		}
		start := time.Now()
		err := h.run()
		require.ErrorIs(t, err, kernel.ErrSecondSignal)
		require.Equal(t, kernel.ExitDrainIncomplete, kernel.ExitCode(err))
		require.Zero(t, time.Since(start))
		require.Equal(t, fullLifecycle, h.recordedSteps())
	})
}

// A Drain that ignores the end of its context and a Stop that does not return must not
// keep the steps of the other module from running.
func TestStuckModulesCannotBlockShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		release := make(chan struct{})
		h.b.onDrain = func(context.Context) error { <-release; return nil }
		h.a.onStop = func() { <-release }
		err := h.run()
		require.ErrorIs(t, err, kernel.ErrStepTimeout)
		require.ErrorIs(t, err, kernel.ErrDrainDeadline)
		require.Equal(t, fullLifecycle, h.recordedSteps())
		close(release)
	})
}

func TestSignalWhileStarting(t *testing.T) {
	h := newHarness(t)
	h.a.onStart = func(ctx context.Context) error {
		h.signals <- syscall.SIGINT
		<-ctx.Done()
		return nil
	}
	err := h.run()
	require.ErrorIs(t, err, kernel.ErrInterrupted)
	require.Equal(t, kernel.ExitFailure, kernel.ExitCode(err))
	// The first four steps are the provision and validate steps.
	require.Equal(t, []string{"start a", "stop b", "stop a"}, h.steps[4:])
}

func TestErrorOfEachStep(t *testing.T) {
	cases := []struct {
		step kernel.Step
		code int
		// last are the steps recorded at the end of the run.
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
			h := newHarness(t)
			h.b.failStep = c.step
			err := h.run()
			var stepErr *kernel.StepError
			require.ErrorAs(t, err, &stepErr)
			require.Equal(t, "b", stepErr.Part)
			require.Equal(t, c.step, stepErr.Step)
			require.ErrorIs(t, err, errBroken)
			require.Equal(t, c.code, kernel.ExitCode(err))
			require.Equal(t, c.last, h.steps[len(h.steps)-len(c.last):])
		})
	}
}

func TestModuleFailureShutsDownGracefully(t *testing.T) {
	h := newHarness(t)
	// The second call must not block, although the process handles only one failure.
	h.options.OnRunning = func() { h.a.env.Fail(errBroken); h.a.env.Fail(errBroken) }
	err := h.run()
	require.ErrorIs(t, err, errBroken)
	require.Equal(t, kernel.ExitFailure, kernel.ExitCode(err))
	require.Equal(t, fullLifecycle, h.recordedSteps())
}

func TestCheckReportsProblemsOfAllParts(t *testing.T) {
	h := newHarness(t)
	h.a.failStep, h.b.failStep = kernel.StepProvision, kernel.StepValidate
	parts := []kernel.Part{{Name: "a", Module: h.a}, {Name: "b", Module: h.b}}
	err := kernel.Check(h.options.Log, parts)
	require.ErrorContains(t, err, "provision a: broken")
	require.ErrorContains(t, err, "validate b: broken")
	require.Equal(t, kernel.ExitUsage, kernel.ExitCode(err))

	_, _, err = kernel.NewPart[kernel.Module](kernel.KindTarget, "none", "target.settings", nil)
	require.ErrorContains(t, err, `"none" is not known`)
	require.Equal(t, kernel.ExitUsage, kernel.ExitCode(err))
}
