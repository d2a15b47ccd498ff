package kernel

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// The exit codes of the programs.
const (
	// ExitOK tells that the program did its work.
	ExitOK = 0
	// ExitFailure tells that the program failed while it ran.
	ExitFailure = 1
	// ExitUsage tells that the arguments or the settings are bad.
	ExitUsage = 2
	// ExitDrainIncomplete tells that open work was given up at the end: the drain
	// deadline passed or a second signal came.
	ExitDrainIncomplete = 3
)

// The errors of Run, wrapped in Error. Test them with errors.Is.
var (
	// ErrDrainDeadline tells that open work was given up at the drain deadline.
	ErrDrainDeadline = errs.New("drain deadline passed")
	// ErrSecondSignal tells that open work was given up on a second signal.
	ErrSecondSignal = errs.New("second signal came while draining")
	// ErrInterrupted tells that a signal came before all modules had started.
	ErrInterrupted = errs.New("interrupted while starting")
	// ErrStepTimeout tells that a step of a module did not return in time.
	ErrStepTimeout = errs.New("step did not return in time")
)

// Step names a step of a module's life.
type Step string

// The steps of a module's life, in order.
const (
	StepProvision Step = "provision"
	StepValidate  Step = "validate"
	StepStart     Step = "start"
	StepRun       Step = "run"
	StepDrain     Step = "drain"
	StepStop      Step = "stop"
)

// StepError tells which step of which part failed.
type StepError struct {
	Step Step
	Part string
	Err  error
}

// Error implements error.
func (e *StepError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Step, e.Part, e.Err)
}

// Unwrap returns the error of the module.
func (e *StepError) Unwrap() error { return e.Err }

// UsageError marks bad arguments or settings.
type UsageError struct {
	Err error
}

// Error implements error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the error that was marked.
func (e *UsageError) Unwrap() error { return e.Err }

// Usage marks an error as one of arguments or settings. It returns nil for nil.
func Usage(err error) error {
	if err == nil {
		return nil
	}
	return &UsageError{Err: err}
}

// ExitCode returns the exit code that tells an error of Run, Check or Usage to
// the caller of the program.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, ErrDrainDeadline) || errors.Is(err, ErrSecondSignal) {
		return ExitDrainIncomplete
	}
	var usage *UsageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailure
}

func stepError(step Step, part Part, err error) error {
	if err == nil {
		return nil
	}
	return Error.Wrap(&StepError{Step: step, Part: part.Name, Err: err})
}
