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
	// zoneLimit is the time after which a zone that was taken out of service must
	// receive no more packets.
	zoneLimit = 3 * time.Second
	// bucketTime is the length of a Bucket.
	bucketTime = 500 * time.Millisecond
	// minAnsweredShare is the smallest acceptable share of answered requests, measured
	// from zoneLimit after a change of the zone.
	minAnsweredShare = 0.99
	// warmUpTime is the time before the first change, in which the agents raise the
	// limits of their new targets.
	warmUpTime = 25 * time.Second
)

// ZoneLeaveReturn takes one of three availability zones out of service while a balancer is
// frozen, resumes the balancer, and returns the zone to service, under load.
func ZoneLeaveReturn(ctx context.Context, env Env) (Result, error) {
	running, config, err := env.deploy(ctx, deployment.Shapes()["marmot"])
	if err != nil {
		return Result{}, err
	}
	defer running.Kill()
	zone := zoneChange{running: running, env: env, zone: deployment.Shapes()["marmot"].Zones[1], begin: time.Now()}
	recorder, summary, err := underLoad(ctx, config, running.Layout, zone.run)
	if err != nil {
		return Result{}, err
	}
	if err := running.Stop(); err != nil {
		return Result{}, Error.Wrap(err)
	}
	var result Result
	result.AtMost("packets_after_limit", float64(zone.latePackets), 0)
	result.AtMost("wrong", float64(summary.Wrong), 0)
	result.AtMost("doubled", float64(summary.DuplicateRuns), 0)
	result.AtMost("false_not_run", float64(summary.FalseNotRun), 0)
	result.AtLeast("service_while_out", answeredShare(recorder, zone.outAt+zoneLimit, zone.returnedAt, ""), minAnsweredShare)
	result.AtLeast("bookings_while_out", answeredShare(recorder, zone.outAt+zoneLimit, zone.returnedAt, load.KindBooking), minAnsweredShare)
	result.Info("service_while_leaving", answeredShare(recorder, zone.outAt, zone.outAt+zoneLimit, ""))
	result.Info("bookings_while_leaving", answeredShare(recorder, zone.outAt, zone.outAt+zoneLimit, load.KindBooking))
	result.AtLeast("service_after_return", answeredShare(recorder, zone.returnedAt+zoneLimit, zone.endedAt, ""), minAnsweredShare)
	result.AtLeast("zone_packets_after_return", float64(zone.returnPackets), 1)
	result.AtMost("target_collapses", float64(summary.Collapses), 0)
	result.Info("given_up_flows", float64(summary.BrokenFlows))
	result.Info("unknown", float64(summary.Unknown))
	result.Info("refused_not_run", float64(summary.RefusedNotRun))
	result.Detail = buckets(recorder)
	return result, nil
}

// zoneChange takes a zone out of service and returns it to service.
type zoneChange struct {
	running *fleet.Fleet
	env     Env
	zone    model.Zone
	begin   time.Time

	outAt, returnedAt, endedAt time.Duration
	// latePackets is the number of packets that reached the zone's agents later than
	// zoneLimit after it was taken out; returnPackets counts those after its return.
	latePackets, returnPackets int64
}

func (z *zoneChange) run(ctx context.Context) error {
	frozenBalancer := z.running.ProcessNames("lb-")[0]
	pause(ctx, z.env.scaled(warmUpTime))
	if err := z.running.Signal(frozenBalancer, syscall.SIGSTOP); err != nil {
		return Error.Wrap(err)
	}
	z.outAt = time.Since(z.begin)
	if err := setZone(ctx, z.running.Layout, z.zone, true); err != nil {
		return err
	}
	pause(ctx, zoneLimit)
	atLimit, err := z.packets()
	if err != nil {
		return err
	}
	pause(ctx, time.Second)
	if err := z.running.Signal(frozenBalancer, syscall.SIGCONT); err != nil {
		return Error.Wrap(err)
	}
	pause(ctx, z.env.scaled(4*time.Second))
	atReturn, err := z.packets()
	if err != nil {
		return err
	}
	z.latePackets = atReturn - atLimit
	z.returnedAt = time.Since(z.begin)
	if err := setZone(ctx, z.running.Layout, z.zone, false); err != nil {
		return err
	}
	pause(ctx, z.env.scaled(8*time.Second))
	z.endedAt = time.Since(z.begin)
	atEnd, err := z.packets()
	z.returnPackets = atEnd - atReturn
	return err
}

// packets returns the number of datagrams that the zone's agents have received.
func (z *zoneChange) packets() (int64, error) {
	sum := int64(0)
	for _, name := range z.running.ZoneProcesses("balsamagent", string(z.zone)) {
		metrics, err := z.running.Metrics(name)
		if err != nil {
			return 0, Error.Wrap(err)
		}
		sum += metrics["datagrams_in"]
	}
	return sum, nil
}

// answeredShare returns the share of requests of a kind started in [from, to) that
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

func buckets(recorder *load.Recorder) []Bucket {
	var all []Bucket
	for _, request := range recorder.Requests() {
		number := int(request.Start / bucketTime)
		for len(all) <= number {
			all = append(all, Bucket{StartMS: int64(len(all)) * bucketTime.Milliseconds()})
		}
		all[number].add(request)
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
