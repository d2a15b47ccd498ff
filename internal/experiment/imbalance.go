package experiment

import (
	"context"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/standin/deployment"
	"github.com/balsamlink/balsamlink/internal/standin/fleet"
)

func init() { Register("imbalance", Imbalance) }

const (
	// mostImbalance is the largest allowed ratio of the busiest target's work to
	// the mean, per slot.
	mostImbalance  = 1.15
	sampleInterval = 50 * time.Millisecond
	sampleTime     = 15 * time.Second
	// The callers of the measured load, which take about 70% of the slots.
	imbalanceFeeds    = 28
	imbalanceBookings = 6
)

// Imbalance samples the requests in flight at each agent of a service while
// about 70% of the slots are in use, and compares the busiest with the mean.
func Imbalance(ctx context.Context, env Env) (Result, error) {
	shape := deployment.Shape{
		Name: "balance", Zones: []model.Zone{"a", "b", "c"}, Balancers: 3,
		Services: []deployment.ServiceShape{{Name: "booking-feed", Targets: 8, Slots: 5}},
	}
	running, config, err := env.deploy(ctx, shape)
	if err != nil {
		return Result{}, err
	}
	defer running.Kill()
	config.Feeds, config.Files, config.Bookings = imbalanceFeeds, 0, imbalanceBookings
	config.RequestsPerFlow = 1
	samples := sampler{running: running, agents: running.ProcessNames("booking-feed-"), slots: shape.Services[0].Slots}
	var warm, ended time.Duration
	begin := time.Now()
	recorder, summary, err := underLoad(ctx, config, running.Layout, func(ctx context.Context) error {
		pause(ctx, env.scaled(warmUpTime))
		warm = time.Since(begin)
		err := samples.run(ctx, env.scaled(sampleTime))
		ended = time.Since(begin)
		return err
	})
	if err != nil {
		return Result{}, err
	}
	var result Result
	result.AtMost("max_to_mean", samples.ratio(), mostImbalance)
	result.AtMost("wrong", float64(summary.Wrong), 0)
	result.Info("busiest_to_mean_at_a_sample", samples.peakRatio())
	result.Info("slots_in_use_share", samples.use())
	result.Info("samples", float64(samples.count))
	result.AtLeast("service_when_warm", service(recorder, warm, ended, ""), leastService)
	result.Info("mean_limit_share", samples.limitShare())
	result.Info("refused_not_run", float64(summary.RefusedNotRun))
	result.Info("answered", float64(summary.Answered))
	return result, nil
}

// sampler adds up the requests in flight at each agent.
type sampler struct {
	running *fleet.Fleet
	agents  []string
	slots   int

	sums  []float64
	peaks float64
	// limits adds up the limits of all agents.
	limits float64
	count  int
}

func (s *sampler) run(ctx context.Context, length time.Duration) error {
	s.sums = make([]float64, len(s.agents))
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); {
		if err := s.sample(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

func (s *sampler) sample() error {
	most, sum := 0.0, 0.0
	for i, name := range s.agents {
		metrics, err := s.running.Metrics(name)
		if err != nil {
			return Error.Wrap(err)
		}
		inFlight := float64(metrics["requests_in_flight"])
		s.sums[i] += inFlight
		s.limits += float64(metrics["requests_limit"])
		sum += inFlight
		most = max(most, inFlight)
	}
	s.count++
	if sum > 0 {
		s.peaks += most * float64(len(s.agents)) / sum
	}
	return nil
}

// ratio returns the busiest agent's work over the whole time to the mean.
func (s *sampler) ratio() float64 {
	most, sum := 0.0, 0.0
	for _, work := range s.sums {
		most = max(most, work)
		sum += work
	}
	return most * float64(len(s.sums)) / sum
}

// peakRatio returns the mean over all samples of the busiest agent's work at
// that moment to the mean of the agents.
func (s *sampler) peakRatio() float64 { return s.peaks / float64(s.count) }

// use returns the share of all slots that was in use.
func (s *sampler) use() float64 {
	sum := 0.0
	for _, work := range s.sums {
		sum += work
	}
	return sum / float64(s.count*len(s.sums)*s.slots)
}

// limitShare returns the mean of the agents' limits as a share of their slots.
func (s *sampler) limitShare() float64 {
	return s.limits / float64(s.count*len(s.sums)*s.slots)
}
