package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/standin/deployment"
	"github.com/balsamlink/balsamlink/internal/standin/fleet"
	"github.com/balsamlink/balsamlink/internal/standin/platform"
)

func init() {
	Register("platform-outage", PlatformOutage)
	Register("plan-in-force", PlanInForce)
}

const (
	outageTime = 20 * time.Second
	// inForceLimit is the time within which an accepted change is in force at all
	// nodes of one machine.
	inForceLimit = 3 * time.Second
	inForcePoll  = 20 * time.Millisecond
	inForceRuns  = 10
)

// inject replaces the faults of the platform's stand-in.
func inject(ctx context.Context, address netip.AddrPort, faults platform.Faults) error {
	text, err := json.Marshal(faults)
	if err != nil {
		return Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut,
		"http://"+address.String()+platform.PathFaults, bytes.NewReader(text))
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != http.StatusOK/100 {
		return Error.New("faults: status %d", response.StatusCode)
	}
	return nil
}

// PlatformOutage takes a zone out, takes the platform down at once, replaces a
// balancer and an agent meanwhile, and brings the platform back, under a checked
// load.
func PlatformOutage(ctx context.Context, env Env) (Result, error) {
	shape := deployment.Shapes()["marmot"]
	running, config, err := env.deploy(ctx, shape)
	if err != nil {
		return Result{}, err
	}
	defer running.Kill()
	steps := outage{running: running, env: env, zone: shape.Zones[0], begin: time.Now()}
	recorder, summary, err := underLoad(ctx, config, running.Layout, steps.run)
	if err != nil {
		return Result{}, err
	}
	var result Result
	result.AtMost("packets_after_limit", float64(steps.late), 0)
	result.AtMost("nodes_behind_after_restart", float64(steps.behind), 0)
	result.AtMost("wrong", float64(summary.Wrong), 0)
	result.AtMost("doubled", float64(summary.Doubled), 0)
	result.AtMost("false_not_run", float64(summary.FalseNotRun), 0)
	result.AtMost("target_collapses", float64(summary.Collapses), 0)
	result.AtLeast("service_in_outage", service(recorder, steps.down+zoneLimit, steps.up, ""), leastService)
	result.Info("bookings_in_outage", service(recorder, steps.down+zoneLimit, steps.up, "booking"))
	result.Info("service_after", service(recorder, steps.up+zoneLimit, steps.ended, ""))
	result.Info("given_up_flows", float64(summary.BrokenFlows))
	result.Info("refused_not_run", float64(summary.RefusedNotRun))
	result.Info("unknown", float64(summary.Unknown))
	result.Detail = buckets(recorder)
	return result, nil
}

// outage is the steps of PlatformOutage.
type outage struct {
	running *fleet.Fleet
	env     Env
	zone    model.Zone
	begin   time.Time

	down, up, ended time.Duration
	late            int64
	behind          int
}

func (o *outage) run(ctx context.Context) error {
	pause(ctx, o.env.scaled(warmUpTime))
	if err := setZone(ctx, o.running.Layout, o.zone, true); err != nil {
		return err
	}
	if err := inject(ctx, o.running.Layout.Platform, platform.Faults{Outage: platform.OutageRefuse}); err != nil {
		return err
	}
	o.down = time.Since(o.begin)
	pause(ctx, zoneLimit)
	packets := zoneChange{running: o.running, zone: o.zone}
	atLimit, err := packets.packets()
	if err != nil {
		return err
	}
	if err := o.replaceNodes(ctx); err != nil {
		return err
	}
	pause(ctx, o.env.scaled(outageTime))
	atEnd, err := packets.packets()
	if err != nil {
		return err
	}
	o.late = atEnd - atLimit
	o.up = time.Since(o.begin)
	if err := inject(ctx, o.running.Layout.Platform, platform.Faults{}); err != nil {
		return err
	}
	pause(ctx, o.env.scaled(outageTime/2))
	o.ended = time.Since(o.begin)
	return nil
}

// replaceNodes starts a balancer and an agent anew while the platform is down.
// They must come up with the documents that their peers hold.
func (o *outage) replaceNodes(ctx context.Context) error {
	agents := o.running.ZoneProcesses("balsamagent", string(deployment.Shapes()["marmot"].Zones[1]))
	for _, name := range []string{o.running.ProcessNames("lb-")[0], agents[0]} {
		if err := o.running.Restart(ctx, name, killSignal); err != nil {
			return Error.Wrap(err)
		}
	}
	behind, err := nodesBehind(ctx, o.running.Layout)
	o.behind = behind
	return err
}

// nodesBehind returns the number of nodes that hold an older revision of what is
// out of service than the newest one in the deployment.
func nodesBehind(ctx context.Context, layout deployment.Layout) (int, error) {
	operator, err := layout.Operator()
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer operator.Close()
	return operator.NodesBehind(ctx)
}

// PlanInForce changes what is out of service again and again and measures the
// time until every node has each change in force.
func PlanInForce(ctx context.Context, env Env) (Result, error) {
	shape := deployment.Shapes()["endcap"]
	running, err := env.start(ctx, shape)
	if err != nil {
		return Result{}, err
	}
	defer running.Kill()
	operator, err := running.Layout.Operator()
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	defer operator.Close()
	var slowest, sum time.Duration
	for run := range inForceRuns {
		begin := time.Now()
		if err := operator.SetZone(ctx, shape.Zones[run/2%len(shape.Zones)], run%2 == 0); err != nil {
			return Result{}, Error.Wrap(err)
		}
		if err := operator.AwaitRevision(ctx, model.Revision(run+2), running.NodeCount(), inForcePoll); err != nil {
			return Result{}, Error.Wrap(err)
		}
		took := time.Since(begin)
		slowest = max(slowest, took)
		sum += took
	}
	var result Result
	result.AtMost("slowest_ms", float64(slowest.Milliseconds()), float64(inForceLimit.Milliseconds()))
	result.Info("mean_ms", float64(sum.Milliseconds())/inForceRuns)
	result.Info("changes", inForceRuns)
	result.Info("nodes", float64(running.NodeCount()))
	return result, nil
}
