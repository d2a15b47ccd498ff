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
	// outageTime is how long the outage continues after nodes were restarted during it.
	outageTime = 20 * time.Second
	// inForceLimit is the bound of the time until an accepted change is in force at
	// all nodes of a deployment on one machine.
	inForceLimit = 3 * time.Second
	// inForcePollInterval is the interval at which the nodes' revisions are read.
	inForcePollInterval = 20 * time.Millisecond
	inForceChanges      = 10
)

// setPlatformFaults replaces the faults that the platform stand-in simulates.
func setPlatformFaults(ctx context.Context, address netip.AddrPort, faults platform.Faults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut,
		"http://"+address.String()+platform.PathFaults, bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != http.StatusOK/100 {
		return Error.New("setting the faults of the platform stand-in: status %d", response.StatusCode)
	}
	return nil
}

// PlatformOutage takes a zone out of service, makes the platform unavailable
// immediately afterwards, restarts a balancer and an agent during the outage, and
// ends the outage, under load.
func PlatformOutage(ctx context.Context, env Env) (Result, error) {
	shape := deployment.Shapes()["marmot"]
	f, config, err := env.deploy(ctx, shape)
	if err != nil {
		return Result{}, err
	}
	defer f.Kill()
	steps := outage{fleet: f, env: env, zone: shape.Zones[0], started: time.Now()}
	recorder, summary, err := underLoad(ctx, config, f.Layout, steps.run)
	if err != nil {
		return Result{}, err
	}
	var result Result
	result.AtMost("packets_after_limit", float64(steps.packetsAfterLimit), 0)
	result.AtMost("nodes_behind_after_restart", float64(steps.nodesBehind), 0)
	result.AtMost("wrong", float64(summary.Wrong), 0)
	result.AtMost("doubled", float64(summary.DuplicateRuns), 0)
	result.AtMost("false_not_run", float64(summary.FalseNotRun), 0)
	result.AtMost("target_collapses", float64(summary.Collapses), 0)
	result.AtLeast("service_in_outage", answeredShare(recorder, steps.downAt+zoneChangeLimit, steps.upAt, ""), minAnsweredShare)
	result.Info("bookings_in_outage", answeredShare(recorder, steps.downAt+zoneChangeLimit, steps.upAt, "booking"))
	result.Info("service_after", answeredShare(recorder, steps.upAt+zoneChangeLimit, steps.endedAt, ""))
	result.Info("given_up_flows", float64(summary.BrokenFlows))
	result.Info("refused_not_run", float64(summary.RefusedNotRun))
	result.Info("unknown", float64(summary.Unknown))
	result.Detail = buckets(recorder)
	return result, nil
}

// outage runs the steps of PlatformOutage and records their times and counts.
type outage struct {
	fleet   *fleet.Fleet
	env     Env
	zone    model.Zone
	started time.Time

	// The platform is unavailable from downAt to upAt. All times count from started.
	downAt, upAt, endedAt time.Duration
	// packetsAfterLimit is the number of packets that reached the zone's agents during
	// the outage, later than zoneChangeLimit after its start.
	packetsAfterLimit int64
	// nodesBehind is the result of countNodesBehind after the restarts.
	nodesBehind int
}

func (o *outage) run(ctx context.Context) error {
	pause(ctx, o.env.scaled(warmUpTime))
	if err := setZone(ctx, o.fleet.Layout, o.zone, true); err != nil {
		return err
	}
	if err := setPlatformFaults(ctx, o.fleet.Layout.Platform, platform.Faults{Outage: platform.OutageRefuse}); err != nil {
		return err
	}
	o.downAt = time.Since(o.started)
	pause(ctx, zoneChangeLimit)
	change := zoneChange{fleet: o.fleet, zone: o.zone}
	packetsAtLimit, err := change.packetsReceived()
	if err != nil {
		return err
	}
	if err := o.restartNodes(ctx); err != nil {
		return err
	}
	pause(ctx, o.env.scaled(outageTime))
	packetsAtEnd, err := change.packetsReceived()
	if err != nil {
		return err
	}
	o.packetsAfterLimit = packetsAtEnd - packetsAtLimit
	o.upAt = time.Since(o.started)
	if err := setPlatformFaults(ctx, o.fleet.Layout.Platform, platform.Faults{}); err != nil {
		return err
	}
	pause(ctx, o.env.scaled(outageTime/2))
	o.endedAt = time.Since(o.started)
	return nil
}

// restartNodes kills and restarts a balancer and an agent while the platform is
// unavailable. The new processes must obtain the current documents from their peers.
func (o *outage) restartNodes(ctx context.Context) error {
	agents := o.fleet.ZoneProcesses("balsamagent", string(deployment.Shapes()["marmot"].Zones[1]))
	for _, name := range []string{o.fleet.ProcessNames("lb-")[0], agents[0]} {
		if err := o.fleet.Restart(ctx, name, killSignal); err != nil {
			return Error.Wrap(err)
		}
	}
	behind, err := countNodesBehind(ctx, o.fleet.Layout)
	o.nodesBehind = behind
	return err
}

// countNodesBehind returns the number of nodes whose out-of-service document is older
// than the newest one at any node.
func countNodesBehind(ctx context.Context, layout deployment.Layout) (int, error) {
	operator, err := layout.Operator()
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer operator.Close()
	return operator.NodesBehind(ctx)
}

// PlanInForce takes zones out of service and returns them repeatedly, and measures
// the time until each change of the out-of-service document is in force at every node.
func PlanInForce(ctx context.Context, env Env) (Result, error) {
	shape := deployment.Shapes()["endcap"]
	f, err := env.start(ctx, shape)
	if err != nil {
		return Result{}, err
	}
	defer f.Kill()
	operator, err := f.Layout.Operator()
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	defer operator.Close()
	var slowest, sum time.Duration
	for change := range inForceChanges {
		started := time.Now()
		if err := operator.SetZone(ctx, shape.Zones[change/2%len(shape.Zones)], change%2 == 0); err != nil {
			return Result{}, Error.Wrap(err)
		}
		// The initial document has revision 1, so that the change with index 0 gets 2.
		if err := operator.AwaitRevision(ctx, model.Revision(change+2), f.NodeCount(), inForcePollInterval); err != nil {
			return Result{}, Error.Wrap(err)
		}
		took := time.Since(started)
		slowest = max(slowest, took)
		sum += took
	}
	var result Result
	result.AtMost("slowest_ms", float64(slowest.Milliseconds()), float64(inForceLimit.Milliseconds()))
	result.Info("mean_ms", float64(sum.Milliseconds())/inForceChanges)
	result.Info("changes", inForceChanges)
	result.Info("nodes", float64(f.NodeCount()))
	return result, nil
}
