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
	// maxImbalance is the largest allowed ratio of the busiest target's requests in
	// flight to the mean. All targets have the same number of slots.
	maxImbalance   = 1.15
	sampleInterval = 50 * time.Millisecond
	// sampleTime is how long samples are taken.
	sampleTime = 15 * time.Second
	// The numbers of callers, which occupy about 70% of the slots.
	imbalanceFeeds    = 28
	imbalanceBookings = 6
)

// Imbalance samples the requests in flight at each agent of a service while about
// 70% of the slots are in use, and compares the busiest agent with the mean.
func Imbalance(ctx context.Context, env Env) (Result, error) {
	shape := deployment.Shape{
		Name: "balance", Zones: []model.Zone{"a", "b", "c"}, Balancers: 3,
		Services: []deployment.ServiceShape{{Name: "booking-feed", Targets: 8, Slots: 5}},
	}
	f, config, err := env.deploy(ctx, shape)
	if err != nil {
		return Result{}, err
	}
	defer f.Kill()
	config.Feeds, config.Files, config.Bookings = imbalanceFeeds, 0, imbalanceBookings
	config.RequestsPerFlow = 1
	samples := sampler{fleet: f, agents: f.ProcessNames("booking-feed-"), slots: shape.Services[0].Slots}
	var warmAt, endedAt time.Duration
	started := time.Now()
	recorder, summary, err := underLoad(ctx, config, f.Layout, func(ctx context.Context) error {
		pause(ctx, env.scaled(warmUpTime))
		warmAt = time.Since(started)
		err := samples.run(ctx, env.scaled(sampleTime))
		endedAt = time.Since(started)
		return err
	})
	if err != nil {
		return Result{}, err
	}
	var result Result
	result.AtMost("max_to_mean", samples.totalRatio(), maxImbalance)
	result.AtMost("wrong", float64(summary.Wrong), 0)
	result.Info("busiest_to_mean_at_a_sample", samples.meanSampleRatio())
	result.Info("slots_in_use_share", samples.slotUse())
	result.Info("samples", float64(samples.sampleCount))
	result.AtLeast("service_when_warm", answeredShare(recorder, warmAt, endedAt, ""), minAnsweredShare)
	result.Info("mean_limit_share", samples.limitShare())
	result.Info("refused_not_run", float64(summary.RefusedNotRun))
	result.Info("answered", float64(summary.Answered))
	return result, nil
}

// sampler reads and accumulates the requests in flight at each agent of a service.
type sampler struct {
	fleet  *fleet.Fleet
	agents []string
	// slots is the number of slots of each agent's target.
	slots int

	// totals holds the sum of the requests in flight over all samples, per agent.
	totals []float64
	// ratioSum is the sum over all samples of the ratio of the busiest agent to the
	// mean.
	ratioSum float64
	// limitSum is the sum of the admission limits of all agents over all samples.
	limitSum    float64
	sampleCount int
}

// run takes a sample every sampleInterval for a duration.
func (s *sampler) run(ctx context.Context, duration time.Duration) error {
	s.totals = make([]float64, len(s.agents))
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); {
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
	busiest, sum := 0.0, 0.0
	for i, name := range s.agents {
		metrics, err := s.fleet.Metrics(name)
		if err != nil {
			return Error.Wrap(err)
		}
		inFlight := float64(metrics["requests_in_flight"])
		s.totals[i] += inFlight
		s.limitSum += float64(metrics["requests_limit"])
		sum += inFlight
		busiest = max(busiest, inFlight)
	}
	s.sampleCount++
	if sum > 0 {
		s.ratioSum += busiest * float64(len(s.agents)) / sum
	}
	return nil
}

// totalRatio returns the ratio of the busiest agent's total over all samples to the
// mean total.
func (s *sampler) totalRatio() float64 {
	busiest, sum := 0.0, 0.0
	for _, total := range s.totals {
		busiest = max(busiest, total)
		sum += total
	}
	return busiest * float64(len(s.totals)) / sum
}

// meanSampleRatio returns the mean over all samples of the ratio of the busiest
// agent in that sample to the mean of the agents.
func (s *sampler) meanSampleRatio() float64 { return s.ratioSum / float64(s.sampleCount) }

// slotUse returns the mean share of all slots in use.
func (s *sampler) slotUse() float64 {
	sum := 0.0
	for _, total := range s.totals {
		sum += total
	}
	return sum / float64(s.sampleCount*len(s.totals)*s.slots)
}

// limitShare returns the mean admission limit as a share of the slots.
func (s *sampler) limitShare() float64 {
	return s.limitSum / float64(s.sampleCount*len(s.totals)*s.slots)
}
