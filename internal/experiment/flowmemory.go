package experiment

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/balsamlink/balsamlink/internal/load"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/standin/deployment"
	"github.com/balsamlink/balsamlink/internal/standin/fleet"
)

func init() { Register("flow-memory", FlowMemory) }

const (
	// idlePause keeps a flow open without requests for the whole measurement.
	idlePause         = 10 * time.Minute
	flowsPollInterval = 100 * time.Millisecond
	// openTimeout is the time within which the flows of each count must be open.
	openTimeout = 40 * time.Second
	// maxBytesWithoutFlows is the bound of an agent's resident memory without flows.
	maxBytesWithoutFlows = 128 << 20
	// bytesPerKB is the unit "kB" of /proc/PID/status.
	bytesPerKB = 1 << 10
	// idleFileSize is the size of the one file that is requested on each flow, in bytes.
	idleFileSize = 1 << 10
	// minOpenShare is the smallest share of the wanted flows that must be open. A few
	// may fail when many are opened at once.
	minOpenShare = 0.99
)

// flowCounts holds the numbers of idle flows at which memory is measured.
var flowCounts = []int{500, 1000, 2000}

// FlowMemory opens idle flows to one agent and measures the resident memory of the
// agent and of the balancer.
func FlowMemory(ctx context.Context, env Env) (Result, error) {
	shape := deployment.Shape{
		Name: "flows", Zones: []model.Zone{"a"}, Balancers: 1, ServiceTime: time.Microsecond,
		Services: []deployment.ServiceShape{{Name: "memberdesk", Targets: 1, Slots: relaySlots}},
	}
	f, err := env.start(ctx, shape)
	if err != nil {
		return Result{}, err
	}
	defer f.Kill()
	agent, balancer := f.ProcessNames("memberdesk-")[0], f.ProcessNames("lb-")[0]
	var result Result
	agentBefore := residentBytes(f, agent)
	balancerBefore := residentBytes(f, balancer)
	result.AtMost("agent_bytes_without_flows", agentBefore, maxBytesWithoutFlows)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	open := 0
	for _, count := range flowCounts {
		open, err = openFlows(ctx, env, f, agent, open, count)
		if err != nil {
			return result, err
		}
		name := strconv.Itoa(count) + "_flows:agent_bytes_per_flow"
		result.Info(name, (residentBytes(f, agent)-agentBefore)/float64(open))
	}
	result.Info("agent_bytes_at_most_flows", residentBytes(f, agent))
	result.Info("balancer_bytes_without_flows", balancerBefore)
	result.Info("balancer_bytes_at_most_flows", residentBytes(f, balancer))
	return result, nil
}

// openFlows opens flows until the agent has wanted flows, of which open are open
// already, and returns the number of open flows. It returns as soon as minOpenShare of
// them are open and idle. The flows stay open until the context is cancelled.
func openFlows(ctx context.Context, env Env, f *fleet.Fleet, agent string, open, wanted int) (int, error) {
	config, err := env.mixedLoad(f.Layout)
	if err != nil {
		return 0, err
	}
	config.Feeds, config.Bookings, config.Files = 0, 0, wanted-open
	config.Pause, config.FileSize = idlePause, idleFileSize
	config.Seed = env.Seed + uint64(wanted)
	go load.Run(ctx, config, nil)
	waitCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	ticker := time.NewTicker(flowsPollInterval)
	defer ticker.Stop()
	for {
		metrics, err := f.Metrics(agent)
		flows := int(metrics["flows_open"])
		if err == nil && float64(flows) >= minOpenShare*float64(wanted) && metrics["requests_in_flight"] == 0 {
			return flows, nil
		}
		select {
		case <-waitCtx.Done():
			return flows, Error.New("%d of %d flows open before the time-out, %d requests in flight", flows, wanted, metrics["requests_in_flight"])
		case <-ticker.C:
		}
	}
}

// residentBytes returns the resident memory of a process, 0 if it cannot be read.
func residentBytes(f *fleet.Fleet, name string) float64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(f.PID(name)), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseFloat(fields[1], 64)
			return kilobytes * bytesPerKB
		}
	}
	return 0
}
