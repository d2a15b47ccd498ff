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
	// stopTimeout bounds the Stop step of each module.
	stopTimeout = 5 * time.Second
	// startGrace is how long a module may take to return from Start once its
	// context has ended.
	startGrace = time.Second
	// drainGrace is how long a module may take to return from Drain once its
	// context has ended.
	drainGrace = time.Second
)

// Part is one module of a process.
type Part struct {
	// Name names the part in logs and errors.
	Name   string
	Module Module
	// Path is where Settings stand in the settings file.
	Path     string
	Settings json.RawMessage
}

// NewPart makes a part of the named plug-in that implements T.
func NewPart[T any](edge PluginKind, name, path string, settings json.RawMessage) (T, Part, error) {
	fitted, module, err := NewModule[T](edge, name)
	if err != nil {
		return fitted, Part{}, Usage(err)
	}
	part := Part{Name: string(edge) + "." + name, Module: module, Path: path, Settings: settings}
	return fitted, part, nil
}

// Options says how a process runs.
type Options struct {
	Log *logrus.Entry
	// Counters is the set that modules add their metrics to; nil stands for one
	// that is not shown.
	Counters *observe.Counters
	// DrainTimeout is how long a graceful shutdown waits for open work.
	DrainTimeout time.Duration
	// Signals brings the signals that end the process; nil stands for SIGTERM
	// and SIGINT.
	Signals <-chan os.Signal
	// OnRunning is called when all parts have started. It may be nil.
	OnRunning func()
	// OnDraining is called when the graceful shutdown begins. It may be nil.
	OnDraining func()
}

// Check provisions and validates all parts and stops them again. It returns
// the faults of all parts.
func Check(log *logrus.Entry, parts []Part) error {
	p := newProcess(Options{Log: log}, parts)
	err := p.prepare()
	return errors.Join(err, p.stop())
}

// Run takes all parts through their life. It starts them in order and waits
// for a signal, the end of the context or a failure. Then it drains and stops
// them in reverse order. A second signal ends the drain at once.
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

// process is the state of one Run.
type process struct {
	options Options
	parts   []Part
	failed  chan error
	// provisioned and started count the parts that have reached the step.
	provisioned int
	started     int
}

func newProcess(options Options, parts []Part) *process {
	if options.Counters == nil {
		options.Counters = observe.NewCounters()
	}
	return &process{options: options, parts: parts, failed: make(chan error, 1)}
}

func (p *process) env(part Part) Env {
	return Env{
		Log:      p.options.Log.WithField("part", part.Name),
		Counters: p.options.Counters,
		Path:     part.Path,
		Fail: func(err error) {
			select {
			case p.failed <- stepError(StepRun, part, err):
			default:
			}
		},
	}
}

func (p *process) prepare() error {
	var faults []error
	for _, part := range p.parts {
		p.provisioned++
		if err := part.Module.Provision(p.env(part), part.Settings); err != nil {
			faults = append(faults, stepError(StepProvision, part, err))
			continue
		}
		faults = append(faults, stepError(StepValidate, part, part.Module.Validate()))
	}
	return Usage(errors.Join(faults...))
}

func (p *process) run(ctx context.Context) error {
	if err := p.start(ctx); err != nil {
		return err
	}
	p.options.Log.WithField("parts", len(p.parts)).Info("process_running")
	notify(p.options.OnRunning)
	failure := p.wait(ctx)
	notify(p.options.OnDraining)
	return errors.Join(failure, p.drain())
}

// start starts all parts unless a signal comes first.
func (p *process) start(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := begin(func() error { return p.startAll(ctx) })
	select {
	case err := <-done:
		return err
	case <-p.options.Signals:
		cancel(ErrInterrupted)
	case <-ctx.Done():
	}
	return errors.Join(Error.Wrap(context.Cause(ctx)), await(done, startGrace))
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

func (p *process) wait(ctx context.Context) error {
	select {
	case got := <-p.options.Signals:
		p.options.Log.WithField("signal", got).Info("process_draining")
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
	go p.cancelOnSignal(ctx, cancel)
	var faults []error
	for _, part := range slices.Backward(p.parts[:p.started]) {
		err := bounded(ctx, drainGrace, func() error { return part.Module.Drain(ctx) })
		faults = append(faults, p.drainFault(ctx, part, err))
	}
	if cause := context.Cause(ctx); cause != nil {
		faults = append(faults, Error.Wrap(cause))
	}
	return errors.Join(faults...)
}

func (p *process) cancelOnSignal(ctx context.Context, cancel context.CancelCauseFunc) {
	select {
	case <-p.options.Signals:
		cancel(ErrSecondSignal)
	case <-ctx.Done():
	}
}

// drainFault leaves out the errors that only repeat that the context ended.
func (p *process) drainFault(ctx context.Context, part Part, err error) error {
	if err == nil || (ctx.Err() != nil && errors.Is(err, context.Canceled)) {
		return nil
	}
	p.options.Log.WithError(err).WithField("part", part.Name).Warn("part_drain_failed")
	return stepError(StepDrain, part, err)
}

// stop stops all provisioned parts in reverse order.
func (p *process) stop() error {
	var faults []error
	for _, part := range slices.Backward(p.parts[:p.provisioned]) {
		err := await(begin(part.Module.Stop), stopTimeout)
		faults = append(faults, stepError(StepStop, part, err))
	}
	p.provisioned = 0
	return errors.Join(faults...)
}

// bounded runs a step and waits for it until the context has ended and a grace
// time has passed.
func bounded(ctx context.Context, grace time.Duration, step func() error) error {
	done := begin(step)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return await(done, grace)
	}
}

func begin(step func() error) <-chan error {
	done := make(chan error, 1)
	go func() { done <- step() }()
	return done
}

func await(done <-chan error, limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
		return ErrStepTimeout
	}
}

func notify(callback func()) {
	if callback != nil {
		callback()
	}
}
