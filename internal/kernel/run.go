package kernel

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/observe"
)

const (
	// stopTimeout limits the Stop step of each module.
	stopTimeout = 5 * time.Second
	// startGrace is the time for Start to return after its context has ended.
	startGrace = time.Second
	// drainGrace is the time for Drain to return after its context has ended.
	drainGrace = time.Second
)

// Part is one module of a process with its name and settings.
type Part struct {
	// Name is used in logs and errors.
	Name   string
	Module Module
	// Path is the position of Settings in the settings file.
	Path     string
	Settings json.RawMessage
}

// NewPart returns a part with a module of the named plug-in, and the module as
// T. The path is the position of the settings in the settings file. It returns a
// UsageError if the plug-in is unknown or does not implement T.
func NewPart[T any](kind PluginKind, name, path string, settings json.RawMessage) (T, Part, error) {
	instance, module, err := NewModule[T](kind, name)
	if err != nil {
		return instance, Part{}, Usage(err)
	}
	part := Part{Name: string(kind) + "." + name, Module: module, Path: path, Settings: settings}
	return instance, part, nil
}

// Options configures Run.
type Options struct {
	Log *logrus.Entry
	// Metrics is the set that modules add their metrics to. If it is nil, the
	// metrics are not exported.
	Metrics *observe.MetricSet
	// DrainTimeout limits the wait for open work at a graceful shutdown.
	DrainTimeout time.Duration
	// Signals receives the signals that end the process. If it is nil, these are
	// SIGTERM and SIGINT.
	Signals <-chan os.Signal
	// OnRunning is called when all parts have started. It may be nil.
	OnRunning func()
	// OnDraining is called when the shutdown begins. It may be nil.
	OnDraining func()
}

// Check provisions, validates and stops all parts. It returns the joined errors
// of all of them.
func Check(log *logrus.Entry, parts []Part) error {
	p := newProcess(Options{Log: log}, parts)
	err := p.prepare()
	return errors.Join(err, p.stop())
}

// Run runs all parts through their lifecycle. It starts them in order and waits
// for a signal, the end of the context or a failure. Then it drains and stops
// them in reverse order. A second signal aborts the drain.
func Run(ctx context.Context, options Options, parts []Part) error {
	if options.Signals == nil {
		signals := make(chan os.Signal, 2)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		defer signal.Stop(signals)
		options.Signals = signals
	}
	p := newProcess(options, parts)
	err := p.prepare()
	if err == nil {
		err = p.run(ctx)
	}
	return errors.Join(err, p.stop())
}

// process is the state of one Run or Check.
type process struct {
	options Options
	parts   []Part
	// failed holds the first error that a module has passed to Env.Fail.
	failed chan error
	// provisioned counts the parts whose Provision was called, started those whose
	// Start succeeded.
	provisioned int
	started     int
}

func newProcess(options Options, parts []Part) *process {
	if options.Metrics == nil {
		options.Metrics = observe.NewMetricSet()
	}
	return &process{options: options, parts: parts, failed: make(chan error, 1)}
}

func (p *process) env(part Part) Env {
	return Env{
		Log:     p.options.Log.WithField("part", part.Name),
		Metrics: p.options.Metrics,
		Path:    part.Path,
		Fail: func(err error) {
			select {
			case p.failed <- stepError(StepRun, part, err):
			default:
			}
		},
	}
}

// prepare provisions all parts, and validates those that could be provisioned.
func (p *process) prepare() error {
	var failures []error
	for _, part := range p.parts {
		p.provisioned++
		if err := part.Module.Provision(p.env(part), part.Settings); err != nil {
			failures = append(failures, stepError(StepProvision, part, err))
			continue
		}
		failures = append(failures, stepError(StepValidate, part, part.Module.Validate()))
	}
	return Usage(errors.Join(failures...))
}

func (p *process) run(ctx context.Context) error {
	if err := p.start(ctx); err != nil {
		return err
	}
	p.options.Log.WithField("parts", len(p.parts)).Info("process_running")
	callIfSet(p.options.OnRunning)
	failure := p.waitForShutdown(ctx)
	callIfSet(p.options.OnDraining)
	return errors.Join(failure, p.drain())
}

// start starts all parts. A signal or the end of the context interrupts it.
func (p *process) start(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := runAsync(func() error { return p.startAll(ctx) })
	select {
	case err := <-done:
		return err
	case <-p.options.Signals:
		cancel(ErrInterrupted)
	case <-ctx.Done():
	}
	return errors.Join(Error.Wrap(context.Cause(ctx)), awaitStep(done, startGrace))
}

func (p *process) startAll(ctx context.Context) error {
	for _, part := range p.parts {
		if ctx.Err() != nil {
			return Error.Wrap(context.Cause(ctx))
		}
		if err := part.Module.Start(ctx); err != nil {
			return stepError(StepStart, part, err)
		}
		p.started++
	}
	return nil
}

// waitForShutdown returns when the process is to shut down, with the error if a
// module has failed.
func (p *process) waitForShutdown(ctx context.Context) error {
	select {
	case received := <-p.options.Signals:
		p.options.Log.WithField("signal", received).Info("process_draining")
		return nil
	case <-ctx.Done():
		p.options.Log.WithField("reason", context.Cause(ctx)).Info("process_draining")
		return nil
	case err := <-p.failed:
		p.options.Log.WithError(err).Error("process_failed")
		return err
	}
}

// drain drains the started parts in reverse order. They share one deadline.
func (p *process) drain() error {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	deadline := time.AfterFunc(p.options.DrainTimeout, func() { cancel(ErrDrainDeadline) })
	defer deadline.Stop()
	go p.cancelOnSecondSignal(ctx, cancel)
	var failures []error
	for _, part := range slices.Backward(p.parts[:p.started]) {
		err := runWithGrace(ctx, drainGrace, func() error { return part.Module.Drain(ctx) })
		failures = append(failures, p.drainError(ctx, part, err))
	}
	if cause := context.Cause(ctx); cause != nil {
		failures = append(failures, Error.Wrap(cause))
	}
	return errors.Join(failures...)
}

func (p *process) cancelOnSecondSignal(ctx context.Context, cancel context.CancelCauseFunc) {
	select {
	case <-p.options.Signals:
		cancel(ErrSecondSignal)
	case <-ctx.Done():
	}
}

// drainError logs and wraps the error of a Drain step. It returns nil for an
// error that only reports the end of the drain context, since drain reports the
// cause of that itself.
func (p *process) drainError(ctx context.Context, part Part, err error) error {
	if err == nil || (ctx.Err() != nil && errors.Is(err, context.Canceled)) {
		return nil
	}
	p.options.Log.WithError(err).WithField("part", part.Name).Warn("part_drain_failed")
	return stepError(StepDrain, part, err)
}

// stop stops the parts on which Provision was called, in reverse order.
func (p *process) stop() error {
	var failures []error
	for _, part := range slices.Backward(p.parts[:p.provisioned]) {
		err := awaitStep(runAsync(part.Module.Stop), stopTimeout)
		failures = append(failures, stepError(StepStop, part, err))
	}
	p.provisioned = 0
	return errors.Join(failures...)
}

// runWithGrace runs a step. After the end of the context it waits for the step for
// the grace time only and returns ErrStepTimeout if that passes.
func runWithGrace(ctx context.Context, grace time.Duration, step func() error) error {
	done := runAsync(step)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return awaitStep(done, grace)
	}
}

// runAsync runs a step in a goroutine and returns the channel of its result.
func runAsync(step func() error) <-chan error {
	done := make(chan error, 1)
	go func() { done <- step() }()
	return done
}

// awaitStep returns the result of a step, or ErrStepTimeout after the limit.
func awaitStep(done <-chan error, limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
		return ErrStepTimeout
	}
}

func callIfSet(callback func()) {
	if callback != nil {
		callback()
	}
}
