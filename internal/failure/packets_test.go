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
	desk  = "memberdesk"
	proof = "proofroom"
	// applyTime and evacuateTime are the users' bounds for changes.
	applyTime    = 3 * time.Second
	evacuateTime = 5 * time.Second
	// apiece is the deadline of one request.
	apiece = 4 * time.Second
)

// octets gives each site loopback addresses of its own.
var octets atomic.Int32

func startSite(t *testing.T, change func(*site.Shape)) *site.Site {
	t.Parallel()
	shape := site.Shape{
		Zones: []string{"a", "b"}, Balancers: 1, Hash: site.HashModulo, Octet: byte(100 + octets.Add(1)),
		Services: []site.ServiceShape{{Name: desk, Targets: 3}, {Name: proof, Targets: 1}},
	}
	if change != nil {
		change(&shape)
	}
	running, err := site.Start(shape, programs, t.TempDir())
	require.NoError(t, err)
	t.Cleanup(running.Close)
	return running
}

// openFlows opens some flows to the first route and serves a request on each.
func openFlows(t *testing.T, s *site.Site, count int) []*site.Flow {
	var flows []*site.Flow
	for n, zone := range []string{"a", "b"} {
		client, err := s.NewClient(zone, 100+n)
		require.NoError(t, err)
		for range count / 2 {
			opened := client.Open(s.Address(0))
			require.NotNil(t, opened)
			require.Equal(t, site.OutcomeServed, opened.Request("warm", 100, []string{desk}, apiece))
			flows = append(flows, opened)
		}
	}
	return flows
}

// serveAll sends one request on each flow at the same time and requires that
// every one of them is answered.
func serveAll(t *testing.T, flows []*site.Flow) {
	t.Helper()
	outcomes := make([]site.Outcome, len(flows))
	var running sync.WaitGroup
	for i, f := range flows {
		running.Go(func() { outcomes[i] = f.Request("again", 3000, []string{desk}, 2*apiece) })
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

func requireUnharmed(t *testing.T, s *site.Site) {
	t.Helper()
	require.Zero(t, s.InvalidPackets(), "packets that are not as their sender wrote them")
}

func TestPacketFlowsOutliveTheirBalancers(t *testing.T) {
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
	require.Eventually(t, func() bool { return s.Router.ReadyCount() == 5 }, apiece, 20*time.Millisecond)
	serveAll(t, flows)
	requireUnharmed(t, s)
}

// The fabric probes each half second. A balancer that starts beside living nodes
// is ready before the probe after its first one, so that a restart costs one
// probe.
func TestPacketBalancerServesSoonAfterItsStart(t *testing.T) {
	const probeInterval = 500 * time.Millisecond
	s := startSite(t, nil)
	flows := openFlows(t, s, 10)
	node := s.Nodes("")[0]
	before, err := os.ReadFile(node.LogPath())
	require.NoError(t, err)
	require.Error(t, s.End(node, syscall.SIGKILL))
	begun := time.Now()
	require.NoError(t, s.StartNode(node))
	serveAll(t, flows)
	after := func(event string) time.Duration {
		lines, err := os.ReadFile(node.LogPath())
		require.NoError(t, err)
		return loggedAt(t, lines[len(before):], event).Sub(begun)
	}
	require.Eventually(t, func() bool {
		lines, err := os.ReadFile(node.LogPath())
		return err == nil && bytes.Contains(lines[len(before):], []byte("event=first_packet_forwarded"))
	}, apiece, 20*time.Millisecond)
	t.Logf("ready after %s, first packet after %s", after("balancer_ready"), after("first_packet_forwarded"))
	require.Less(t, after("balancer_ready"), probeInterval)
}

// loggedAt returns the time of the first line of an event.
func loggedAt(t *testing.T, lines []byte, event string) time.Time {
	t.Helper()
	for line := range bytes.Lines(lines) {
		if !bytes.Contains(line, []byte("event="+event)) {
			continue
		}
		_, rest, _ := bytes.Cut(line, []byte(`time="`))
		stamp, _, _ := bytes.Cut(rest, []byte(`"`))
		at, err := time.Parse(time.RFC3339Nano, string(stamp))
		require.NoError(t, err)
		return at
	}
	require.Fail(t, "no line", event)
	return time.Time{}
}

func TestPacketFlowsOutliveTheAgentsOfLivingTargets(t *testing.T) {
	s := startSite(t, nil)
	flows := openFlows(t, s, 20)
	for i, node := range s.Nodes(desk) {
		signal := syscall.SIGTERM
		if i%2 == 1 {
			signal = syscall.SIGKILL
		}
		restart(t, s, node, signal)
		serveAll(t, flows)
	}
	requireUnharmed(t, s)
}

func TestPacketFlowsOutliveTheEndOfAllProcesses(t *testing.T) {
	s := startSite(t, nil)
	flows := openFlows(t, s, 20)
	var nodes []*site.Node
	for _, service := range []string{"", desk, proof} {
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
	requireUnharmed(t, s)
}

// The flows of a target that has ended are given up at once, so that clients
// can try again within their aim, and their next flow opens elsewhere.
func TestPacketFlowsOfAnEndedTargetAreReset(t *testing.T) {
	s := startSite(t, nil)
	flows := openFlows(t, s, 30)
	node := s.Nodes(desk)[0]
	crashed := s.Target(node)
	var lost, kept []*site.Flow
	for _, f := range flows {
		if crashed.Holds(f.Key) {
			lost = append(lost, f)
		} else {
			kept = append(kept, f)
		}
	}
	require.NotEmpty(t, lost)
	crashed.Crash()
	require.NoError(t, s.StartTarget(node))
	for _, f := range lost {
		require.Equal(t, site.OutcomeReset, f.Request("lost", 10, []string{desk}, apiece))
	}
	serveAll(t, kept)
	serveAll(t, openFlowsAt(t, s, 150, 10))
	requireUnharmed(t, s)
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

// The agent and the target end together, as with a VM that loses power.
func TestPacketFlowsOfALostVMAreReset(t *testing.T) {
	s := startSite(t, nil)
	flows := openFlows(t, s, 30)
	node := s.Nodes(desk)[0]
	var lost []*site.Flow
	for _, f := range flows {
		if s.Target(node).Holds(f.Key) {
			lost = append(lost, f)
		}
	}
	require.NotEmpty(t, lost)
	s.Target(node).Crash()
	require.Error(t, s.End(node, syscall.SIGKILL))
	begun := time.Now()
	for _, f := range lost {
		require.Equal(t, site.OutcomeReset, f.Request("lost", 10, []string{desk}, apiece))
	}
	require.Less(t, time.Since(begun), applyTime)
	require.NotNil(t, openFlowsAt(t, s, 150, 3))
}

func TestPacketConfigurationIsInForceWhileWatchesHearNothing(t *testing.T) {
	s := startSite(t, nil)
	flows := openFlows(t, s, 10)
	s.Store.SetWatchesSilent(true)
	s.Configure(s.Route(0, wire.Backend{Service: proof, Weight: 1}), s.Route(1, wire.Backend{Service: proof, Weight: 1}))
	s.Store.Compact()
	client, err := s.NewClient("a", 150)
	require.NoError(t, err)
	changed := time.Now()
	require.Eventually(t, func() bool {
		f := client.Open(s.Address(0))
		return f != nil && f.Request("moved", 10, []string{proof}, apiece) == site.OutcomeServed
	}, applyTime, 10*time.Millisecond)
	t.Logf("in force after %s", time.Since(changed))
	// A version in force never goes back.
	for range 100 {
		f := client.Open(s.Address(0))
		require.NotNil(t, f)
		require.Equal(t, site.OutcomeServed, f.Request("moved", 10, []string{proof}, apiece))
	}
	// Open flows stay where they are, also for balancers that have just started.
	serveAll(t, flows)
	for _, node := range s.Nodes("") {
		restart(t, s, node, syscall.SIGKILL)
	}
	serveAll(t, flows)
	requireUnharmed(t, s)
}

func TestPacketDrainAndEvacuationAreInForce(t *testing.T) {
	s := startSite(t, nil)
	flows := openFlows(t, s, 20)
	leaving := s.Target(s.Nodes(desk)[0])
	leaving.Drain()
	opened := leaving.Stats().Opened
	openFlowsAt(t, s, 150, 30)
	require.Equal(t, opened, leaving.Stats().Opened, "acknowledged means that nothing new comes")
	serveAll(t, flows)

	s.Evacuate("b", true)
	evacuated := time.Now()
	client, err := s.NewClient("b", 151)
	require.NoError(t, err)
	for {
		before, at := seenIn(s, "b"), time.Now()
		for range 10 {
			require.NotNil(t, client.Open(s.Address(0)))
		}
		if seenIn(s, "b") == before && at.Sub(evacuated) > applyTime {
			break
		}
		require.Less(t, time.Since(evacuated), evacuateTime)
	}
	s.Evacuate("b", false)
	require.Eventually(t, func() bool {
		before := seenIn(s, "b")
		return client.Open(s.Address(0)) != nil && seenIn(s, "b") > before
	}, evacuateTime, 10*time.Millisecond)
	requireUnharmed(t, s)
}

// seenIn returns the flows that the targets of a service in a zone have seen.
func seenIn(s *site.Site, zone string) int {
	seen := 0
	for _, node := range s.Nodes(desk) {
		if node.Zone() == zone {
			seen += s.Target(node).Stats().Opened
		}
	}
	return seen
}

func TestPacketPathOutlivesTheStore(t *testing.T) {
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
			// A balancer that starts meanwhile learns the state from its peers.
			restart(t, s, s.Nodes("")[0], syscall.SIGKILL)
			require.Eventually(t, func() bool { return metric(s.Nodes("")[0], "state_version") > 0 }, 2*apiece, 50*time.Millisecond)
			serveAll(t, flows)
			s.Store.SetFault(nil)
			require.Eventually(t, func() bool { return len(s.Store.Keys("balsamlink/nodes/")) >= 6 }, 2500*time.Millisecond, 20*time.Millisecond,
				"registrations that lapsed are back within 2 s")
			serveAll(t, openFlowsAt(t, s, 150, 10))
			requireUnharmed(t, s)
		})
	}
}

// metric reads one metric of a node; 0 stands for a node that does not answer.
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

func TestPacketPathSparesColdTargets(t *testing.T) {
	s := startSite(t, func(shape *site.Shape) {
		shape.WarmUp, shape.Services = 3*time.Second, []site.ServiceShape{{Name: desk, Targets: 2}}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
	defer cancel()
	_, err := s.Load(ctx, 60)
	require.NoError(t, err)
	for _, node := range s.Nodes(desk) {
		opened := s.Target(node).Stats().OpenedAt
		for i := range opened {
			if i >= 5 && i < 10 {
				require.Greater(t, opened[i].Sub(opened[i-5]), time.Second, "at most 5 flows within a second")
			}
		}
	}
}

// A process that is stopped and goes on, as on a VM that freezes, must not give
// up flows whose targets live.
func TestPacketFlowsOutliveAFrozenProcess(t *testing.T) {
	s := startSite(t, nil)
	flows := openFlows(t, s, 20)
	for _, node := range []*site.Node{s.Nodes("")[0], s.Nodes("")[1]} {
		require.NoError(t, s.Signal(node, syscall.SIGSTOP))
		time.AfterFunc(2*time.Second, func() {
			// A process that has ended meanwhile fails the test by itself.
			_ = s.Signal(node, syscall.SIGCONT)
		})
		serveAll(t, flows)
	}
	requireUnharmed(t, s)
}

// A settings file may change with SIGHUP or without any signal. Settings that
// are wrong change nothing.
func TestPacketSettingsAreReloaded(t *testing.T) {
	s := startSite(t, nil)
	flows := openFlows(t, s, 10)
	for _, node := range []*site.Node{s.Nodes("")[0], s.Nodes(desk)[0]} {
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
		require.Eventually(t, logged("settings_reloaded"), apiece, 50*time.Millisecond)
		require.NoError(t, os.WriteFile(node.SettingsPath(), []byte(`{"vm":7}`), 0o644))
		require.NoError(t, s.Signal(node, syscall.SIGHUP))
		require.Eventually(t, logged("settings_refused"), apiece, 50*time.Millisecond)
	}
	serveAll(t, flows)
	requireUnharmed(t, s)
}

func TestPacketNodesExplainThemselves(t *testing.T) {
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
