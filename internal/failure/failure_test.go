// Package failure tests failures of real processes. The tests of balsamlb and
// balsamagent run one of the named experiments, or their own steps, on a small
// deployment. Those of the packet path, with balsampktlb and balsampktagent, run on a
// site of package standin/site; the soak test injects overlapping faults there.
package failure

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/experiment"
	"github.com/balsamlink/balsamlink/internal/load"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/standin/deployment"
	"github.com/balsamlink/balsamlink/internal/standin/fleet"
)

// testTimeout bounds one test; one that calls requireFigures may take twice as long.
const testTimeout = 45 * time.Second

// programs is the folder of the executables, which TestMain builds.
var programs string

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

// runAll builds the executables and runs the tests. It is separate from TestMain because
// os.Exit does not run deferred calls.
func runAll(m *testing.M) int {
	folder, err := os.MkdirTemp("", "balsamlink-programs-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	build := exec.Command("go", "build", "-o", folder+"/", "../../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	programs = folder
	return m.Run()
}

// start starts a small deployment and returns it with the context of the test, which
// ends after testTimeout.
func start(t *testing.T) (context.Context, *fleet.Fleet) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	shape := deployment.Shape{
		Name: "small", Zones: []model.Zone{"a", "b", "c"}, Balancers: 3,
		Services: []deployment.ServiceShape{{Name: "booking-feed", Targets: 3, Slots: 8}, {Name: "map-store", Targets: 2, Slots: 8}},
	}
	f, err := fleet.Start(ctx, shape, programs, t.TempDir())
	require.NoError(t, err)
	t.Cleanup(f.Kill)
	return ctx, f
}

// requireAllFigures runs an experiment at a small scale and checks that all its
// figures are within their bounds.
func requireAllFigures(t *testing.T, name string, scale float64) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	result, err := experiment.Run(ctx, name, experiment.Env{Programs: programs, Folder: t.TempDir(), Seed: 1, Scale: scale})
	require.NoError(t, err)
	for _, figure := range result.Figures {
		require.True(t, figure.Met, "%s: %v, bound %s\n%s", figure.Name, figure.Value, figure.Bound, result)
	}
}

// A flow breaks when a balancer that takes over its datagrams sends them to another
// agent, or when an agent stops before its flows have ended.
func TestNoFlowBreaksWhileBalancersAndAgentsChange(t *testing.T) {
	requireAllFigures(t, "broken-flows", 0.2)
}

// callerLoad returns the configuration of a load of callers of one kind. Each sends a
// few requests on a flow before it opens the next.
func callerLoad(t *testing.T, f *fleet.Fleet, kind load.Kind, callers int) load.Config {
	layout := f.Layout
	authorities, err := load.Authorities(layout.Authority)
	require.NoError(t, err)
	config := load.Config{
		Authorities: authorities, Tokens: layout.Tokens, Duration: testTimeout, MaxRequests: 1000,
		RequestsPerFlow: 4,
		Pause:           20 * time.Millisecond, RequestTimeout: 40 * time.Second, FileSize: 32 << 10,
		FeedBlocks: 40, FeedInterval: 50 * time.Millisecond, Seed: 1,
	}
	for _, service := range layout.Services {
		config.Services = append(config.Services, load.Service{Name: service.Name, Address: service.Address})
	}
	switch kind {
	case load.KindFeed:
		config.Feeds = callers
	case load.KindFile:
		config.Files = callers
	case load.KindBooking:
		config.Bookings = callers
	}
	return config
}

// sendDuring runs a load while the steps run and returns the load's records.
func sendDuring(ctx context.Context, t *testing.T, config load.Config, steps func()) *load.Recorder {
	stop := make(chan struct{})
	config.Stop = stop
	done := make(chan *load.Recorder, 1)
	go func() {
		recorder, err := load.Run(ctx, config, nil)
		if err != nil {
			t.Error(err)
		}
		done <- recorder
	}()
	steps()
	close(stop)
	return <-done
}

// countResults returns the number of requests that ended with the given result.
func countResults(recorder *load.Recorder, result load.Result) int {
	n := 0
	for _, request := range recorder.Requests() {
		if request.Result == result {
			n++
		}
	}
	return n
}

// eventually polls until a condition holds. The test fails if the context ends first.
func eventually(ctx context.Context, t *testing.T, what string, holds func() bool) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			require.Fail(t, "condition not met in time: "+what)
		case <-ticker.C:
		}
	}
}

// failureDeadline is the time within which the flows of a killed process must fail.
const failureDeadline = 3 * time.Second

// After an agent is killed its VM is still up, and the VM's kernel refuses datagrams.
// The agent's flows must fail fast, by a stateless reset from another agent.
func TestFlowsOfAKilledAgentFailFast(t *testing.T) {
	ctx, f := start(t)
	config := callerLoad(t, f, load.KindFeed, 6)
	config.MaxRequests = 1
	config.FeedBlocks = 200
	var killed time.Time
	started := time.Now()
	recorder := sendDuring(ctx, t, config, func() {
		killedAgent := agentWithFlows(ctx, t, f)
		killed = time.Now()
		require.NoError(t, f.Signal(killedAgent, syscall.SIGKILL))
		eventually(ctx, t, "a balancer got datagrams of a stopped agent's flows", func() bool {
			for _, name := range f.ProcessNames("lb-") {
				metrics, err := f.Metrics(name)
				if err == nil && metrics["datagrams_gone"] > 0 {
					return true
				}
			}
			return false
		})
	})
	broken := 0
	for _, request := range recorder.Requests() {
		if request.Result != load.ResultBroken {
			continue
		}
		broken++
		require.Contains(t, request.Error, "stateless reset")
		require.LessOrEqual(t, request.Start+request.Latency, killed.Sub(started)+failureDeadline)
	}
	require.Positive(t, broken)
}

// An agent that is paused for a second is not treated as failed: its flows must
// continue with it.
func TestFlowsOfAPausedAgentSurvive(t *testing.T) {
	ctx, f := start(t)
	recorder := sendDuring(ctx, t, callerLoad(t, f, load.KindFeed, 3), func() {
		for _, name := range f.ProcessNames("booking-feed-") {
			require.NoError(t, f.Signal(name, syscall.SIGSTOP))
			paused, cancel := context.WithTimeout(ctx, time.Second)
			<-paused.Done()
			cancel()
			require.NoError(t, f.Signal(name, syscall.SIGCONT))
		}
	})
	require.Zero(t, countResults(recorder, load.ResultBroken), "%+v", recorder.Requests())
	require.Positive(t, countResults(recorder, load.ResultAnswered))
}

// When a target VM is replaced by one of another service at the same address, the
// new target must get no requests of the former service. Balancers may still have the
// address in their tables as that of the former service.
func TestReusedAddressGetsNoRequestsOfTheFormerService(t *testing.T) {
	ctx, f := start(t)
	reused := f.ProcessNames("booking-feed-")[0]
	recorder := sendDuring(ctx, t, callerLoad(t, f, load.KindFile, 4), func() {
		require.NoError(t, f.Signal(reused, syscall.SIGKILL))
		_, err := f.AwaitExit(ctx, reused)
		require.NoError(t, err)
		require.NoError(t, f.ChangeService(reused, "map-store"))
		require.NoError(t, f.StartProcess(reused))
		eventually(ctx, t, "the reused address serves its new service", func() bool {
			metrics, err := f.Metrics(reused)
			return err == nil && metrics["datagrams_in_first"] > 0
		})
	})
	require.Zero(t, countResults(recorder, load.ResultWrong))
	bookings := callerLoad(t, f, load.KindBooking, 4)
	bookings.MaxRequests = 20
	booked, err := load.Run(ctx, bookings, nil)
	require.NoError(t, err)
	require.Zero(t, countResults(booked, load.ResultWrong))
	require.Zero(t, bookingsAt(ctx, t, f, 0), "the target of the reused address got bookings")
}

// bookingsAt returns the number of bookings that a target of the first service ran.
func bookingsAt(ctx context.Context, t *testing.T, f *fleet.Fleet, index int) int {
	targets := f.Layout.Services[0].Targets[index : index+1]
	ledger, err := load.FetchLedger(ctx, targets)
	require.NoError(t, err)
	return len(ledger.RunsByKey)
}

// An agent that SIGTERM drains must not stop before its open flows have completed. It gets
// no new work after 3 s, and exits with code 0 when the flows have ended.
func TestDrainedAgentCompletesItsFlows(t *testing.T) {
	ctx, f := start(t)
	draining := f.ProcessNames("booking-feed-")[0]
	recorder := sendDuring(ctx, t, callerLoad(t, f, load.KindFeed, 6), func() {
		require.NoError(t, f.Signal(draining, syscall.SIGTERM))
		code, err := f.AwaitExit(ctx, draining)
		require.NoError(t, err)
		require.Zero(t, code)
	})
	require.Zero(t, countResults(recorder, load.ResultBroken), "%+v", recorder.Requests())
	require.Zero(t, countResults(recorder, load.ResultWrong))
	require.NoError(t, f.Stop())
}

// An agent that drains must not keep its operator waiting: a second SIGTERM abandons the
// open flows, and the agent exits with code 3, kernel.ExitDrainIncomplete.
func TestSecondSignalStopsAtOnce(t *testing.T) {
	ctx, f := start(t)
	config := callerLoad(t, f, load.KindFeed, 6)
	config.MaxRequests = 1
	config.FeedBlocks = 200
	sendDuring(ctx, t, config, func() {
		name := agentWithFlows(ctx, t, f)
		require.NoError(t, f.Signal(name, syscall.SIGTERM))
		eventually(ctx, t, "the agent drains", func() bool {
			log, err := os.ReadFile(filepath.Join(f.Layout.Folder, name+".log"))
			return err == nil && bytes.Contains(log, []byte("event=process_draining"))
		})
		require.NoError(t, f.Signal(name, syscall.SIGTERM))
		code, err := f.AwaitExit(ctx, name)
		require.NoError(t, err)
		require.Equal(t, 3, code)
	})
}

// packetsToConfirm is the number of packets of each flow after which its handshake
// is confirmed. Before that a flow sends no packet that a stateless reset could
// answer (RFC 9000, 10.3); it would end only by its idle timeout.
const packetsToConfirm = 10

// agentWithFlows waits for an agent of the first service whose flows are established and
// confirmed, and returns its name.
func agentWithFlows(ctx context.Context, t *testing.T, f *fleet.Fleet) string {
	agent := ""
	eventually(ctx, t, "an agent has flows", func() bool {
		for _, name := range f.ProcessNames("booking-feed-") {
			metrics, err := f.Metrics(name)
			flows := metrics["flows_open"]
			if err == nil && flows > 0 && metrics["datagrams_in_established"] >= packetsToConfirm*flows {
				agent = name
				return true
			}
		}
		return false
	})
	return agent
}

// requireFigures runs an experiment at a small scale and checks the named figures,
// whose bounds apply at any scale. The bounds of the other figures apply only at scale 1.
func requireFigures(t *testing.T, name string, scale float64, names ...string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	defer cancel()
	result, err := experiment.Run(ctx, name, experiment.Env{Programs: programs, Folder: t.TempDir(), Seed: 1, Scale: scale})
	require.NoError(t, err)
	found := 0
	for _, figure := range result.Figures {
		if !slices.Contains(names, figure.Name) {
			continue
		}
		found++
		require.True(t, figure.Met, "%s: %v, bound %s\n%s", figure.Name, figure.Value, figure.Bound, result)
	}
	require.Len(t, names, found)
}

// A balancer that was frozen while a zone was taken out of service still has the zone in
// its table when it resumes. It must not send packets before it has verified that its
// table is current.
func TestZoneOutOfServiceGetsNoPacketsFromAPausedBalancer(t *testing.T) {
	requireFigures(t, "zone-leave-return", 0.2,
		"packets_after_limit", "wrong", "doubled", "false_not_run", "target_collapses", "zone_packets_after_return")
}

// Nodes that start during an outage of the platform cannot read the out-of-service
// document there. They must get it from their peers before they send packets.
func TestZoneStaysOutOfServiceDuringAPlatformOutage(t *testing.T) {
	requireFigures(t, "platform-outage", 0.2,
		"packets_after_limit", "nodes_behind_after_restart", "wrong", "doubled", "false_not_run", "target_collapses")
}

// A booking whose caller got no answer may have run. It must not run a second time, and
// must not be reported as not run.
func TestBookingsRunOnceDuringFailures(t *testing.T) {
	requireFigures(t, "bookings", 0.2,
		"doubled", "false_not_run", "wrong", "unknown_without_failure", "repeats_refused")
}

// Units must be neither lost nor counted twice when agents and shard owners restart.
func TestBillsMatchTheCallersRecords(t *testing.T) {
	requireFigures(t, "billing", 0.3, "units_metered_but_not_answered", "units_answered_but_not_metered", "units_answered")
}
