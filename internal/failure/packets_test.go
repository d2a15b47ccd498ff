package failure

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/standin/site"
	"github.com/balsamlink/balsamlink/platform/wire"
)

const (
	deskService  = "memberdesk"
	proofService = "proofroom"
	// applyTime and evacuateTime are the required upper bounds for a configuration
	// change and for an evacuation to be in force.
	applyTime    = 3 * time.Second
	evacuateTime = 5 * time.Second
	// requestTimeout is the deadline of one request.
	requestTimeout = 4 * time.Second
)

// lastOctet numbers the sites, so that each uses its own loopback addresses.
var lastOctet atomic.Int32

func startSite(t *testing.T, change func(*site.Shape)) *site.Site {
	t.Parallel()
	shape := site.Shape{
		Zones: []string{"a", "b"}, Balancers: 1, Hash: site.HashModulo, Octet: byte(100 + lastOctet.Add(1)),
		Services: []site.ServiceShape{{Name: deskService, Targets: 3}, {Name: proofService, Targets: 1}},
	}
	if change != nil {
		change(&shape)
	}
	running, err := site.Start(shape, programs, t.TempDir())
	require.NoError(t, err)
	t.Cleanup(running.Close)
	return running
}

// openFlows opens flows to the first route, half from each zone, and requires that a
// request on each of them is served.
func openFlows(t *testing.T, s *site.Site, count int) []*site.Flow {
	var flows []*site.Flow
	for n, zone := range []string{"a", "b"} {
		client, err := s.NewClient(zone, 100+n)
		require.NoError(t, err)
		for range count / 2 {
			opened := client.Open(s.Address(0))
			require.NotNil(t, opened)
			require.Equal(t, site.OutcomeServed, opened.Request("warm", 100, []string{deskService}, requestTimeout))
			flows = append(flows, opened)
		}
	}
	return flows
}

// serveAll sends one request on each flow at the same time and requires that all of
// them are served.
func serveAll(t *testing.T, flows []*site.Flow) {
	t.Helper()
	outcomes := make([]site.Outcome, len(flows))
	var running sync.WaitGroup
	for i, f := range flows {
		running.Go(func() { outcomes[i] = f.Request("again", 3000, []string{deskService}, 2*requestTimeout) })
	}
	running.Wait()
	for i, outcome := range outcomes {
		require.Equal(t, site.OutcomeServed, outcome, "flow %s", flows[i].Key)
	}
}

func restart(t *testing.T, s *site.Site, node *site.Node, signal syscall.Signal) {
	t.Helper()
	err := s.End(node, signal)
	var exit *exec.ExitError
	if signal != syscall.SIGKILL || !errors.As(err, &exit) {
		require.NoError(t, err, "%s ends gracefully", node.Name)
	}
	require.NoError(t, s.StartNode(node))
}

func requireNoInvalidPackets(t *testing.T, s *site.Site) {
	t.Helper()
	require.Zero(t, s.InvalidPackets(), "malformed, altered or unexpected packets")
}

func TestPacketFlowsSurviveBalancerRestarts(t *testing.T) {
	s := startSite(t, func(shape *site.Shape) { shape.Balancers = 2 })
	flows := openFlows(t, s, 20)
	for i, node := range s.Nodes("") {
		signal := syscall.SIGTERM
		if i%2 == 1 {
			signal = syscall.SIGKILL
		}
		restart(t, s, node, signal)
		serveAll(t, flows)
	}
	_, err := s.AddBalancer("a")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.Router.ReadyCount() == 5 }, requestTimeout, 20*time.Millisecond)
	serveAll(t, flows)
	requireNoInvalidPackets(t, s)
}

// The fabric probes every 500 ms. A balancer that starts while other nodes are
// running must be ready within one probe interval, so that a restart fails only one
// probe.
func TestPacketBalancerIsReadyWithinOneProbeInterval(t *testing.T) {
	const probeInterval = 500 * time.Millisecond
	s := startSite(t, nil)
	flows := openFlows(t, s, 10)
	node := s.Nodes("")[0]
	before, err := os.ReadFile(node.LogPath())
	require.NoError(t, err)
	require.Error(t, s.End(node, syscall.SIGKILL))
	started := time.Now()
	require.NoError(t, s.StartNode(node))
	serveAll(t, flows)
	after := func(event string) time.Duration {
		lines, err := os.ReadFile(node.LogPath())
		require.NoError(t, err)
		return loggedAt(t, lines[len(before):], event).Sub(started)
	}
	require.Eventually(t, func() bool {
		lines, err := os.ReadFile(node.LogPath())
		return err == nil && bytes.Contains(lines[len(before):], []byte("event=first_packet_forwarded"))
	}, requestTimeout, 20*time.Millisecond)
	t.Logf("ready after %s, first packet after %s", after("balancer_ready"), after("first_packet_forwarded"))
	require.Less(t, after("balancer_ready"), probeInterval)
}

// loggedAt returns the time of the first log line of an event.
func loggedAt(t *testing.T, lines []byte, event string) time.Time {
	t.Helper()
	for line := range bytes.Lines(lines) {
		if !bytes.Contains(line, []byte("event="+event)) {
			continue
		}
		_, rest, _ := bytes.Cut(line, []byte(`time="`))
		timestamp, _, _ := bytes.Cut(rest, []byte(`"`))
		at, err := time.Parse(time.RFC3339Nano, string(timestamp))
		require.NoError(t, err)
		return at
	}
	require.Fail(t, "no line", event)
	return time.Time{}
}

func TestPacketFlowsSurviveAgentRestarts(t *testing.T) {
	s := startSite(t, nil)
	flows := openFlows(t, s, 20)
	for i, node := range s.Nodes(deskService) {
		signal := syscall.SIGTERM
		if i%2 == 1 {
			signal = syscall.SIGKILL
		}
		restart(t, s, node, signal)
		serveAll(t, flows)
	}
	requireNoInvalidPackets(t, s)
}

func TestPacketFlowsSurviveRestartOfAllProcesses(t *testing.T) {
	s := startSite(t, nil)
	flows := openFlows(t, s, 20)
	var nodes []*site.Node
	for _, service := range []string{"", deskService, proofService} {
		nodes = append(nodes, s.Nodes(service)...)
	}
	for _, node := range nodes {
		require.NoError(t, s.Signal(node, syscall.SIGKILL))
	}
	for _, node := range nodes {
		require.Error(t, s.Wait(node))
		require.NoError(t, s.StartNode(node))
	}
	serveAll(t, flows)
	requireNoInvalidPackets(t, s)
}

// The flows of a target that has ended must be reset at once, so that clients can
// retry within their latency target on flows to other targets.
func TestPacketFlowsOfAnEndedTargetAreReset(t *testing.T) {
	s := startSite(t, nil)
	flows := openFlows(t, s, 30)
	node := s.Nodes(deskService)[0]
	crashed := s.Target(node)
	var affected, kept []*site.Flow
	for _, f := range flows {
		if crashed.Holds(f.Key) {
			affected = append(affected, f)
		} else {
			kept = append(kept, f)
		}
	}
	require.NotEmpty(t, affected)
	crashed.Crash()
	require.NoError(t, s.StartTarget(node))
	for _, f := range affected {
		require.Equal(t, site.OutcomeReset, f.Request("lost", 10, []string{deskService}, requestTimeout))
	}
	serveAll(t, kept)
	serveAll(t, openFlowsAt(t, s, 150, 10))
	requireNoInvalidPackets(t, s)
}

func openFlowsAt(t *testing.T, s *site.Site, client, count int) []*site.Flow {
	t.Helper()
	c, err := s.NewClient("a", client)
	require.NoError(t, err)
	var flows []*site.Flow
	for range count {
		f := c.Open(s.Address(0))
		require.NotNil(t, f)
		flows = append(flows, f)
	}
	return flows
}

// The agent and its target end at the same time, as when a VM loses power.
func TestPacketFlowsOfAFailedVMAreReset(t *testing.T) {
	s := startSite(t, nil)
	flows := openFlows(t, s, 30)
	node := s.Nodes(deskService)[0]
	var affected []*site.Flow
	for _, f := range flows {
		if s.Target(node).Holds(f.Key) {
			affected = append(affected, f)
		}
	}
	require.NotEmpty(t, affected)
	s.Target(node).Crash()
	require.Error(t, s.End(node, syscall.SIGKILL))
	started := time.Now()
	for _, f := range affected {
		require.Equal(t, site.OutcomeReset, f.Request("lost", 10, []string{deskService}, requestTimeout))
	}
	require.Less(t, time.Since(started), applyTime)
	require.NotNil(t, openFlowsAt(t, s, 150, 3))
}

func TestPacketConfigurationIsAppliedWithoutWatchEvents(t *testing.T) {
	s := startSite(t, nil)
	flows := openFlows(t, s, 10)
	s.Store.SetWatchesSilent(true)
	s.Configure(s.Route(0, wire.Backend{Service: proofService, Weight: 1}), s.Route(1, wire.Backend{Service: proofService, Weight: 1}))
	s.Store.Compact()
	client, err := s.NewClient("a", 150)
	require.NoError(t, err)
	changed := time.Now()
	require.Eventually(t, func() bool {
		f := client.Open(s.Address(0))
		return f != nil && f.Request("moved", 10, []string{proofService}, requestTimeout) == site.OutcomeServed
	}, applyTime, 10*time.Millisecond)
	t.Logf("in force after %s", time.Since(changed))
	// Once a version is in force, no older one is used.
	for range 100 {
		f := client.Open(s.Address(0))
		require.NotNil(t, f)
		require.Equal(t, site.OutcomeServed, f.Request("moved", 10, []string{proofService}, requestTimeout))
	}
	// Open flows keep their targets, also through balancers that have just started.
	serveAll(t, flows)
	for _, node := range s.Nodes("") {
		restart(t, s, node, syscall.SIGKILL)
	}
	serveAll(t, flows)
	requireNoInvalidPackets(t, s)
}

func TestPacketDrainAndEvacuationAreInForce(t *testing.T) {
	s := startSite(t, nil)
	flows := openFlows(t, s, 20)
	draining := s.Target(s.Nodes(deskService)[0])
	draining.Drain()
	opened := draining.Stats().Opened
	openFlowsAt(t, s, 150, 30)
	require.Equal(t, opened, draining.Stats().Opened, "no new flows after the drain was acknowledged")
	serveAll(t, flows)

	s.Evacuate("b", true)
	evacuated := time.Now()
	client, err := s.NewClient("b", 151)
	require.NoError(t, err)
	for {
		before, at := openedIn(s, "b"), time.Now()
		for range 10 {
			require.NotNil(t, client.Open(s.Address(0)))
		}
		if openedIn(s, "b") == before && at.Sub(evacuated) > applyTime {
			break
		}
		require.Less(t, time.Since(evacuated), evacuateTime)
	}
	s.Evacuate("b", false)
	require.Eventually(t, func() bool {
		before := openedIn(s, "b")
		return client.Open(s.Address(0)) != nil && openedIn(s, "b") > before
	}, evacuateTime, 10*time.Millisecond)
	requireNoInvalidPackets(t, s)
}

// openedIn returns the number of flows opened to the first service's targets in a
// zone.
func openedIn(s *site.Site, zone string) int {
	opened := 0
	for _, node := range s.Nodes(deskService) {
		if node.Zone() == zone {
			opened += s.Target(node).Stats().Opened
		}
	}
	return opened
}

func TestPacketPathSurvivesStoreFaults(t *testing.T) {
	faults := map[string]site.Fault{
		"busy": site.FaultUnavailable, "many": site.FaultTooManyRequests, "reset": site.FaultReset, "silent": site.FaultNoResponse, "lost": site.FaultResponseLost,
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			s := startSite(t, nil)
			flows := openFlows(t, s, 10)
			s.Store.SetFault(func(net.IP, bool) site.Fault { return fault })
			s.Store.ExpireLeases()
			serveAll(t, flows)
			// A balancer that starts during the fault gets the state from its peers.
			restart(t, s, s.Nodes("")[0], syscall.SIGKILL)
			require.Eventually(t, func() bool { return metric(s.Nodes("")[0], "state_version") > 0 }, 2*requestTimeout, 50*time.Millisecond)
			serveAll(t, flows)
			s.Store.SetFault(nil)
			require.Eventually(t, func() bool { return len(s.Store.Keys("balsamlink/nodes/")) >= 6 }, 2500*time.Millisecond, 20*time.Millisecond,
				"expired registrations are back within 2 s, plus 0.5 s of slack")
			serveAll(t, openFlowsAt(t, s, 150, 10))
			requireNoInvalidPackets(t, s)
		})
	}
}

// metric reads one metric of a node; it returns 0 if the node does not respond.
func metric(node *site.Node, name string) float64 {
	response, err := http.Get("http://" + node.Metrics().String() + "/debug/vars")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var page struct {
		Balsamlink map[string]any `json:"balsamlink"`
	}
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
		return 0
	}
	value, _ := page.Balsamlink[name].(float64)
	return value
}

func TestPacketPathLimitsNewFlowsToColdTargets(t *testing.T) {
	s := startSite(t, func(shape *site.Shape) {
		shape.WarmUp, shape.Services = 3*time.Second, []site.ServiceShape{{Name: deskService, Targets: 2}}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
	defer cancel()
	_, err := s.Load(ctx, 60)
	require.NoError(t, err)
	for _, node := range s.Nodes(deskService) {
		opened := s.Target(node).Stats().OpenedAt
		for i := range opened {
			if i >= 5 && i < 10 {
				require.Greater(t, opened[i].Sub(opened[i-5]), time.Second, "at most 5 flows within a second")
			}
		}
	}
}

// A process that is stopped for 2 s and continued, as on a VM that freezes, must not
// reset flows whose targets are running.
func TestPacketFlowsSurviveAFrozenProcess(t *testing.T) {
	s := startSite(t, nil)
	flows := openFlows(t, s, 20)
	for _, node := range []*site.Node{s.Nodes("")[0], s.Nodes("")[1]} {
		require.NoError(t, s.Signal(node, syscall.SIGSTOP))
		time.AfterFunc(2*time.Second, func() {
			// An error means that the process has exited, which fails serveAll.
			_ = s.Signal(node, syscall.SIGCONT)
		})
		serveAll(t, flows)
	}
	requireNoInvalidPackets(t, s)
}

// A changed settings file is applied with or without SIGHUP. Invalid settings are
// refused and change nothing.
func TestPacketSettingsAreReloaded(t *testing.T) {
	s := startSite(t, nil)
	flows := openFlows(t, s, 10)
	for _, node := range []*site.Node{s.Nodes("")[0], s.Nodes(deskService)[0]} {
		text, err := os.ReadFile(node.SettingsPath())
		require.NoError(t, err)
		logged := func(event string) func() bool {
			return func() bool {
				lines, err := os.ReadFile(node.LogPath())
				require.NoError(t, err)
				return bytes.Contains(lines, []byte("event="+event))
			}
		}
		require.NoError(t, os.WriteFile(node.SettingsPath(), append([]byte(`{"log_level":"debug",`), text[1:]...), 0o644))
		require.Eventually(t, logged("settings_reloaded"), requestTimeout, 50*time.Millisecond)
		require.NoError(t, os.WriteFile(node.SettingsPath(), []byte(`{"vm":7}`), 0o644))
		require.NoError(t, s.Signal(node, syscall.SIGHUP))
		require.Eventually(t, logged("settings_refused"), requestTimeout, 50*time.Millisecond)
	}
	serveAll(t, flows)
	requireNoInvalidPackets(t, s)
}

func TestPacketNodeDiagnostics(t *testing.T) {
	s := startSite(t, nil)
	flows := openFlows(t, s, 2)
	run := func(arguments ...string) string {
		command := exec.Command(filepath.Join(programs, "balsamctl"), append([]string{"packets"}, arguments...)...)
		out, err := command.CombinedOutput()
		require.NoError(t, err, string(out))
		return string(out)
	}
	node := "--node=" + s.Nodes("")[0].Metrics().String()
	table := run("status", node)
	require.Equal(t, 1+2+4, strings.Count(table, "\n"), table)
	require.Contains(t, table, "memberdesk")
	require.Contains(t, run("status", node, "--json"), `"version": 3`)
	why := run("why", node, "--flow", flows[0].Key.String())
	require.Contains(t, why, "known: agent")
	require.Contains(t, why, "flow: open true")
}

func TestPacketPathServesMixedLoad(t *testing.T) {
	for _, hash := range []site.HashMethod{site.HashRendezvous, site.HashModulo} {
		t.Run(string(hash), func(t *testing.T) {
			s := startSite(t, func(shape *site.Shape) { shape.Hash = hash })
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			tally, err := s.Load(ctx, 20)
			require.NoError(t, err)
			require.Positive(t, tally.Served)
			require.Equal(t, site.Tally{Served: tally.Served}, tally)
		})
	}
}
