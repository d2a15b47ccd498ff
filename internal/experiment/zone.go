package experiment

import (
	"context"
	"syscall"
	"time"

	"github.com/balsamlink/balsamlink/internal/load"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/standin/deployment"
	"github.com/balsamlink/balsamlink/internal/standin/fleet"
)

func init() { Register("zone-leave-return", ZoneLeaveReturn) }

const (
	// zoneChangeLimit is the time within which a change of a zone must be in force: after
	// it a zone that was taken out of service must receive no more packets.
	zoneChangeLimit = 3 * time.Second
	// bucketTime is the length of a Bucket.
	bucketTime = 500 * time.Millisecond
	// minAnsweredShare is the smallest acceptable share of answered requests, measured
	// from zoneChangeLimit after a change of the zone, or after warmUpTime in Imbalance,
	// which changes no zone.
	minAnsweredShare = 0.99
	// warmUpTime is the time before the first change, in which the agents raise the
	// limits of their new targets.
	warmUpTime = 25 * time.Second
)

// ZoneLeaveReturn takes one of three availability zones out of service while a
// balancer is frozen, resumes the balancer, and returns the zone to service, under
// load.
func ZoneLeaveReturn(ctx context.Context, env Env) (Result, error) {
	f, config, err := env.deploy(ctx, deployment.Shapes()["marmot"])
	if err != nil {
		return Result{}, err
	}
	defer f.Kill()
	steps := zoneChange{fleet: f, env: env, zone: deployment.Shapes()["marmot"].Zones[1], started: time.Now()}
	recorder, summary, err := underLoad(ctx, config, f.Layout, steps.run)
	if err != nil {
		return Result{}, err
	}
	if err := f.Stop(); err != nil {
		return Result{}, Error.Wrap(err)
	}
	var result Result
	result.AtMost("packets_after_limit", float64(steps.packetsAfterLimit), 0)
	result.AtMost("wrong", float64(summary.Wrong), 0)
	result.AtMost("doubled", float64(summary.DuplicateRuns), 0)
	result.AtMost("false_not_run", float64(summary.FalseNotRun), 0)
	result.AtLeast("service_while_out", answeredShare(recorder, steps.outAt+zoneChangeLimit, steps.returnedAt, ""), minAnsweredShare)
	result.AtLeast("bookings_while_out", answeredShare(recorder, steps.outAt+zoneChangeLimit, steps.returnedAt, load.KindBooking), minAnsweredShare)
	result.Info("service_while_leaving", answeredShare(recorder, steps.outAt, steps.outAt+zoneChangeLimit, ""))
	result.Info("bookings_while_leaving", answeredShare(recorder, steps.outAt, steps.outAt+zoneChangeLimit, load.KindBooking))
	result.AtLeast("service_after_return", answeredShare(recorder, steps.returnedAt+zoneChangeLimit, steps.endedAt, ""), minAnsweredShare)
	result.AtLeast("zone_packets_after_return", float64(steps.packetsAfterReturn), 1)
	result.AtMost("target_collapses", float64(summary.Collapses), 0)
	result.Info("given_up_flows", float64(summary.BrokenFlows))
	result.Info("unknown", float64(summary.Unknown))
	result.Info("refused_not_run", float64(summary.RefusedNotRun))
	result.Detail = buckets(recorder)
	return result, nil
}

// zoneChange runs the steps of ZoneLeaveReturn and records their times and counts.
type zoneChange struct {
	fleet   *fleet.Fleet
	env     Env
	zone    model.Zone
	started time.Time

	// The zone is out of service from outAt to returnedAt. All times count from started.
	outAt, returnedAt, endedAt time.Duration
	// packetsAfterLimit is the number of packets that reached the zone's agents between
	// zoneChangeLimit after it was taken out and its return; packetsAfterReturn counts
	// those after its return.
	packetsAfterLimit, packetsAfterReturn int64
}

// run keeps a balancer frozen until one second after zoneChangeLimit, so that it
// resumes without having seen the change.
func (z *zoneChange) run(ctx context.Context) error {
	frozenBalancer := z.fleet.ProcessNames("lb-")[0]
	pause(ctx, z.env.scaled(warmUpTime))
	if err := z.fleet.Signal(frozenBalancer, syscall.SIGSTOP); err != nil {
		return Error.Wrap(err)
	}
	z.outAt = time.Since(z.started)
	if err := setZone(ctx, z.fleet.Layout, z.zone, true); err != nil {
		return err
	}
	pause(ctx, zoneChangeLimit)
	packetsAtLimit, err := z.packetsReceived()
	if err != nil {
		return err
	}
	pause(ctx, time.Second)
	if err := z.fleet.Signal(frozenBalancer, syscall.SIGCONT); err != nil {
		return Error.Wrap(err)
	}
	pause(ctx, z.env.scaled(4*time.Second))
	packetsAtReturn, err := z.packetsReceived()
	if err != nil {
		return err
	}
	z.packetsAfterLimit = packetsAtReturn - packetsAtLimit
	z.returnedAt = time.Since(z.started)
	if err := setZone(ctx, z.fleet.Layout, z.zone, false); err != nil {
		return err
	}
	pause(ctx, z.env.scaled(8*time.Second))
	z.endedAt = time.Since(z.started)
	packetsAtEnd, err := z.packetsReceived()
	z.packetsAfterReturn = packetsAtEnd - packetsAtReturn
	return err
}

// packetsReceived returns the number of datagrams that the zone's agents have received
// since their start.
func (z *zoneChange) packetsReceived() (int64, error) {
	sum := int64(0)
	for _, name := range z.fleet.ZoneProcesses("balsamagent", string(z.zone)) {
		metrics, err := z.fleet.Metrics(name)
		if err != nil {
			return 0, Error.Wrap(err)
		}
		sum += metrics["datagrams_in"]
	}
	return sum, nil
}

// answeredShare returns the share of requests of a kind, started in [from, to), that
// were answered; 1 if there were none. An empty kind selects all kinds.
func answeredShare(recorder *load.Recorder, from, to time.Duration, kind load.Kind) float64 {
	started, answered := 0, 0
	for _, request := range recorder.Requests() {
		if request.Start < from || request.Start >= to || (kind != "" && request.Kind != kind) {
			continue
		}
		started++
		if request.Result == load.ResultAnswered {
			answered++
		}
	}
	if started == 0 {
		return 1
	}
	return float64(answered) / float64(started)
}

// Bucket counts the requests that started in one interval of bucketTime.
type Bucket struct {
	StartMS          int64 `json:"start_ms"`
	Sent             int   `json:"sent"`
	Answered         int   `json:"answered"`
	Bookings         int   `json:"bookings"`
	BookingsAnswered int   `json:"booked"`
	// SlowestBookingMS is the highest latency of an answered booking.
	SlowestBookingMS float64 `json:"slowest_booking_ms"`
}

// buckets returns the consecutive Buckets of a load from its start.
func buckets(recorder *load.Recorder) []Bucket {
	var all []Bucket
	for _, request := range recorder.Requests() {
		index := int(request.Start / bucketTime)
		for len(all) <= index {
			all = append(all, Bucket{StartMS: int64(len(all)) * bucketTime.Milliseconds()})
		}
		all[index].add(request)
	}
	return all
}

func (b *Bucket) add(request load.Request) {
	answered := request.Result == load.ResultAnswered
	b.Sent++
	if answered {
		b.Answered++
	}
	if request.Kind != load.KindBooking {
		return
	}
	b.Bookings++
	if answered {
		b.BookingsAnswered++
		b.SlowestBookingMS = max(b.SlowestBookingMS, float64(request.Latency.Milliseconds()))
	}
}
