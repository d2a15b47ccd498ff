package kernel

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// The exit codes of the programs.
const (
	// ExitOK is the code of a program that succeeded.
	ExitOK = 0
	// ExitFailure is the code of a program that failed while it ran.
	ExitFailure = 1
	// ExitUsage is the code for invalid arguments or settings.
	ExitUsage = 2
	// ExitDrainIncomplete is the code of a program that abandoned open work at
	// shutdown, because the drain deadline passed or a second signal came.
	ExitDrainIncomplete = 3
)

// The errors of Run, wrapped in Error. Test them with errors.Is.
var (
	// ErrDrainDeadline is returned if open work was abandoned at the drain
	// deadline.
	ErrDrainDeadline = errs.New("drain deadline passed")
	// ErrSecondSignal is returned if open work was abandoned on a second signal.
	ErrSecondSignal = errs.New("second signal received while draining")
	// ErrInterrupted is returned if a signal came before all modules had started.
	ErrInterrupted = errs.New("interrupted during startup")
	// ErrStepTimeout is returned if a lifecycle step of a module did not return in
	// time.
	ErrStepTimeout = errs.New("step did not return in time")
)

// Step names a step of the module lifecycle.
type Step string

// The steps of the module lifecycle, in order. StepRun has no method: it is the
// time between Start and Drain, and the step of an error passed to Env.Fail.
const (
	StepProvision Step = "provision"
	StepValidate  Step = "validate"
	StepStart     Step = "start"
	StepRun       Step = "run"
	StepDrain     Step = "drain"
	StepStop      Step = "stop"
)

// StepError is the failure of a lifecycle step of one part of a process.
type StepError struct {
	Step Step
	// Part is the name of the part.
	Part string
	Err  error
}

// Error implements error.
func (e *StepError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Step, e.Part, e.Err)
}

// Unwrap returns the error of the module.
func (e *StepError) Unwrap() error { return e.Err }

// UsageError wraps an error caused by invalid arguments or settings.
type UsageError struct {
	Err error
}

// Error implements error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *UsageError) Unwrap() error { return e.Err }

// Usage wraps an error about arguments or settings in a UsageError. It returns
// nil for nil.
func Usage(err error) error {
	if err == nil {
		return nil
	}
	return &UsageError{Err: err}
}

// ExitCode returns the exit code of a program that ends with an error of Run,
// Check or Usage. The code of an incomplete drain takes precedence.
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
