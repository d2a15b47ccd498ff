// Package experiment contains the experiments: the measurements that the command
// "measure" of balsamdev runs by name. Most of them run a deployment of real
// processes on one machine, apply changes or faults to it while a load generator
// verifies every answer, and report figures with the bounds that they must meet.
// "marmot" and "endcap" are example deployments, which package deployment defines.
package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/load"
	"github.com/balsamlink/balsamlink/internal/standin/deployment"
	"github.com/balsamlink/balsamlink/internal/standin/fleet"
)

// Error is the class of all errors of this package.
var Error = errs.Class("experiment")

// Env holds the parameters of an experiment.
type Env struct {
	// Programs is the folder of the executables.
	Programs string
	// Folder receives settings and logs; empty means a temporary folder that is
	// removed at the end.
	Folder string
	Seed   uint64
	// Scale multiplies the durations of an experiment; 1 is the full length.
	Scale float64
}

// Figure is one measured figure with its bound.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	// Bound is the condition on the value, such as "<= 5"; empty if there is none.
	Bound string `json:"target,omitempty"`
	// Met reports whether the value meets the bound; true without one.
	Met bool `json:"met"`
}

// Result is the outcome of an experiment.
type Result struct {
	Name    string   `json:"name"`
	Seed    uint64   `json:"seed"`
	Figures []Figure `json:"figures"`
	// Detail holds additional output that is specific to the experiment.
	Detail any `json:"detail,omitempty"`
}

// Met reports whether all figures meet their bounds.
func (r Result) Met() bool {
	return !slices.ContainsFunc(r.Figures, func(f Figure) bool { return !f.Met })
}

// AtMost adds a figure that must not exceed a limit.
func (r *Result) AtMost(name string, value, limit float64) {
	r.Figures = append(r.Figures, Figure{Name: name, Value: value, Bound: fmt.Sprintf("<= %g", limit), Met: value <= limit})
}

// AtLeast adds a figure that must not fall below a limit.
func (r *Result) AtLeast(name string, value, limit float64) {
	r.Figures = append(r.Figures, Figure{Name: name, Value: value, Bound: fmt.Sprintf(">= %g", limit), Met: value >= limit})
}

// Info adds a figure without a bound.
func (r *Result) Info(name string, value float64) {
	r.Figures = append(r.Figures, Figure{Name: name, Value: value, Met: true})
}

// Experiment runs one measurement. Run sets Name and Seed of its result.
type Experiment func(ctx context.Context, env Env) (Result, error)

var experiments = map[string]Experiment{}

// Register adds an experiment. It is not safe for concurrent use and is called
// from init functions only.
func Register(name string, experiment Experiment) { experiments[name] = experiment }

// Names returns the names of all experiments in alphabetical order.
func Names() []string { return slices.Sorted(maps.Keys(experiments)) }

// Run runs one experiment. It returns an error if the name is unknown or the
// experiment could not be completed; figures that miss their bounds are no error.
func Run(ctx context.Context, name string, env Env) (Result, error) {
	experiment, known := experiments[name]
	if !known {
		return Result{}, Error.New("unknown experiment %q; allowed: %v", name, Names())
	}
	if env.Folder == "" {
		folder, err := os.MkdirTemp("", "balsamlink-"+name+"-")
		if err != nil {
			return Result{}, Error.Wrap(err)
		}
		defer os.RemoveAll(folder)
		env.Folder = folder
	}
	result, err := experiment(ctx, env)
	result.Name, result.Seed = name, env.Seed
	return result, err
}

// String returns the result as one line of JSON.
func (r Result) String() string {
	var text strings.Builder
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(r); err != nil {
		return err.Error()
	}
	return strings.TrimSpace(text.String())
}

// scaled multiplies a duration of the full-length experiment by the scale.
func (e Env) scaled(full time.Duration) time.Duration {
	return time.Duration(float64(full) * e.Scale)
}

// start starts a deployment without a load. The caller must call Kill on the fleet.
func (e Env) start(ctx context.Context, shape deployment.Shape) (*fleet.Fleet, error) {
	f, err := fleet.Start(ctx, shape, e.Programs, e.Folder)
	return f, Error.Wrap(err)
}

// deploy starts a deployment and returns it with the configuration of a mixed load on
// its services. The caller must call Kill on the fleet.
func (e Env) deploy(ctx context.Context, shape deployment.Shape) (*fleet.Fleet, load.Config, error) {
	f, err := e.start(ctx, shape)
	if err != nil {
		return nil, load.Config{}, err
	}
	config, err := e.mixedLoad(f.Layout)
	if err != nil {
		f.Kill()
		return nil, load.Config{}, err
	}
	return f, config, nil
}

// mixedLoad returns the configuration of a load of feeds, files and bookings on the
// services of a deployment.
func (e Env) mixedLoad(layout deployment.Layout) (load.Config, error) {
	config := load.Config{
		Tokens:          layout.Tokens,
		Feeds:           12,
		Files:           6,
		Bookings:        6,
		Duration:        maxLoadTime,
		MaxRequests:     100_000,
		RequestsPerFlow: requestsPerFlow,
		Pause:           100 * time.Millisecond,
		RequestTimeout:  30 * time.Second,
		FileSize:        128 << 10,
		FeedBlocks:      60,
		FeedInterval:    50 * time.Millisecond,
		Seed:            e.Seed,
	}
	for _, service := range layout.Services {
		config.Services = append(config.Services, load.Service{Name: service.Name, Address: service.Address})
	}
	var err error
	config.Authorities, err = load.Authorities(layout.Authority)
	return config, Error.Wrap(err)
}

// underLoad sends a load while steps runs, and returns the load's records and summary.
// The load starts no further request once steps has returned.
func underLoad(ctx context.Context, config load.Config, layout deployment.Layout, steps func(context.Context) error) (*load.Recorder, load.Summary, error) {
	type outcome struct {
		recorder *load.Recorder
		err      error
	}
	done := make(chan outcome, 1)
	stop := make(chan struct{})
	config.Stop = stop
	config.Duration = maxLoadTime
	go func() {
		recorder, err := load.Run(ctx, config, nil)
		done <- outcome{recorder, err}
	}()
	stepErr := steps(ctx)
	close(stop)
	finished := <-done
	if err := errs.Combine(stepErr, finished.err); err != nil {
		return finished.recorder, load.Summary{}, Error.Wrap(err)
	}
	ledger, err := load.FetchLedger(ctx, layout.TargetAddresses())
	if err != nil {
		return finished.recorder, load.Summary{}, Error.Wrap(err)
	}
	return finished.recorder, finished.recorder.Summarize(ledger), nil
}

// requestsPerFlow is the number of requests that a caller sends on one flow.
const requestsPerFlow = 8

// maxLoadTime bounds the duration of a load, also when the steps do not return.
const maxLoadTime = 10 * time.Minute

// pause waits for a duration or until the context is cancelled.
func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
