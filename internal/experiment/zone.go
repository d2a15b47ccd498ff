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
	// zoneLimit is the time within which a zone that is out gets no more packets.
	zoneLimit = 3 * time.Second
	// bucketTime is the length of a time bucket of the service seen by callers.
	bucketTime = 500 * time.Millisecond
	// leastService is the least share of requests that are answered while a zone
	// is out, counted from zoneLimit after it was taken out.
	leastService = 0.99
	// warmUpTime is how long targets that are new to their agents get before the
	// zone leaves.
	warmUpTime = 25 * time.Second
)

// ZoneLeaveReturn takes one zone of three out of service while one balancer is
// paused, lets the balancer go on, and returns the zone, under a checked load.
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
	result.AtMost("packets_after_limit", float64(zone.late), 0)
	result.AtMost("wrong", float64(summary.Wrong), 0)
	result.AtMost("doubled", float64(summary.Doubled), 0)
	result.AtMost("false_not_run", float64(summary.FalseNotRun), 0)
	result.AtLeast("service_while_out", service(recorder, zone.out+zoneLimit, zone.returned, ""), leastService)
	result.AtLeast("bookings_while_out", service(recorder, zone.out+zoneLimit, zone.returned, load.KindBooking), leastService)
	result.Info("service_while_leaving", service(recorder, zone.out, zone.out+zoneLimit, ""))
	result.Info("bookings_while_leaving", service(recorder, zone.out, zone.out+zoneLimit, load.KindBooking))
	result.AtLeast("service_after_return", service(recorder, zone.returned+zoneLimit, zone.ended, ""), leastService)
	result.AtLeast("zone_packets_after_return", float64(zone.after), 1)
	result.AtMost("target_collapses", float64(summary.Collapses), 0)
	result.Info("given_up_flows", float64(summary.BrokenFlows))
	result.Info("unknown", float64(summary.Unknown))
	result.Info("refused_not_run", float64(summary.RefusedNotRun))
	result.Detail = buckets(recorder)
	return result, nil
}

// zoneChange takes a zone out and returns it.
type zoneChange struct {
	running *fleet.Fleet
	env     Env
	zone    model.Zone
	begin   time.Time

	out, returned, ended time.Duration
	// late counts the packets that reached the zone's agents after the limit,
	// and after those that came once the zone was back.
	late, after int64
}

func (z *zoneChange) run(ctx context.Context) error {
	frozen := z.running.ProcessNames("lb-")[0]
	pause(ctx, z.env.scaled(warmUpTime))
	if err := z.running.Signal(frozen, syscall.SIGSTOP); err != nil {
		return Error.Wrap(err)
	}
	z.out = time.Since(z.begin)
	if err := setZone(ctx, z.running.Layout, z.zone, true); err != nil {
		return err
	}
	pause(ctx, zoneLimit)
	atLimit, err := z.packets()
	if err != nil {
		return err
	}
	pause(ctx, time.Second)
	if err := z.running.Signal(frozen, syscall.SIGCONT); err != nil {
		return Error.Wrap(err)
	}
	pause(ctx, z.env.scaled(4*time.Second))
	atReturn, err := z.packets()
	if err != nil {
		return err
	}
	z.late = atReturn - atLimit
	z.returned = time.Since(z.begin)
	if err := setZone(ctx, z.running.Layout, z.zone, false); err != nil {
		return err
	}
	pause(ctx, z.env.scaled(8*time.Second))
	z.ended = time.Since(z.begin)
	atEnd, err := z.packets()
	z.after = atEnd - atReturn
	return err
}

// packets counts all datagrams that the zone's agents have received.
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

// service returns the share of requests started in a time that were answered; 1
// when there were none. An empty kind stands for all.
func service(recorder *load.Recorder, from, to time.Duration, kind load.Kind) float64 {
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

// Bucket is the service that callers saw of requests started in a time bucket.
type Bucket struct {
	StartMS  int64   `json:"start_ms"`
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	Bookings int     `json:"bookings"`
	Booked   int     `json:"booked"`
	SlowMS   float64 `json:"slowest_booking_ms"`
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
		b.Booked++
		b.SlowMS = max(b.SlowMS, float64(request.Latency.Milliseconds()))
	}
}
