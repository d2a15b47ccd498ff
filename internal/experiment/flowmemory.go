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
	idlePause = 10 * time.Minute
	flowsPoll = 100 * time.Millisecond
	// openLimit bounds the time in which the flows must be open.
	openLimit = 40 * time.Second
	// mostControlBytes is the bound of an agent's memory without its flows.
	mostControlBytes = 128 << 20
	bytesPerKB       = 1 << 10
	idleFile         = 1 << 10
	// leastOpen is the least share of the wanted flows that must be open.
	leastOpen = 0.99
)

// flowCounts are the numbers of idle flows at which memory is measured.
var flowCounts = []int{500, 1000, 2000}

// FlowMemory opens idle flows on one agent and measures the memory of the agent
// and of the balancer.
func FlowMemory(ctx context.Context, env Env) (Result, error) {
	shape := deployment.Shape{
		Name: "flows", Zones: []model.Zone{"a"}, Balancers: 1, ServiceTime: time.Microsecond,
		Services: []deployment.ServiceShape{{Name: "memberdesk", Targets: 1, Slots: relaySlots}},
	}
	running, err := env.start(ctx, shape)
	if err != nil {
		return Result{}, err
	}
	defer running.Kill()
	agent, balancer := running.ProcessNames("memberdesk-")[0], running.ProcessNames("lb-")[0]
	var result Result
	before := residentBytes(running, agent)
	balancerBefore := residentBytes(running, balancer)
	result.AtMost("agent_bytes_without_flows", before, mostControlBytes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	open := 0
	for _, count := range flowCounts {
		open, err = openFlows(ctx, env, running, agent, open, count)
		if err != nil {
			return result, err
		}
		name := strconv.Itoa(count) + "_flows:agent_bytes_per_flow"
		result.Info(name, (residentBytes(running, agent)-before)/float64(open))
	}
	result.Info("agent_bytes_at_most_flows", residentBytes(running, agent))
	result.Info("balancer_bytes_without_flows", balancerBefore)
	result.Info("balancer_bytes_at_most_flows", residentBytes(running, balancer))
	return result, nil
}

// openFlows opens more flows, which stay open until the context ends.
// A few may fail when many begin at once. It returns how many are open.
func openFlows(ctx context.Context, env Env, running *fleet.Fleet, agent string, open, wanted int) (int, error) {
	config, err := env.mixedLoad(running.Layout)
	if err != nil {
		return 0, err
	}
	config.Feeds, config.Bookings, config.Files = 0, 0, wanted-open
	config.Pause, config.FileSize = idlePause, idleFile
	config.Seed = env.Seed + uint64(wanted)
	go load.Run(ctx, config, nil)
	waiting, cancel := context.WithTimeout(ctx, openLimit)
	defer cancel()
	ticker := time.NewTicker(flowsPoll)
	defer ticker.Stop()
	for {
		metrics, err := running.Metrics(agent)
		flows := int(metrics["flows_open"])
		if err == nil && float64(flows) >= leastOpen*float64(wanted) && metrics["requests_in_flight"] == 0 {
			return flows, nil
		}
		select {
		case <-waiting.Done():
			return flows, Error.New("%d of %d flows are open, %d requests in flight", flows, wanted, metrics["requests_in_flight"])
		case <-ticker.C:
		}
	}
}

// residentBytes returns the resident memory of a process.
func residentBytes(running *fleet.Fleet, name string) float64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(running.PID(name)), "status"))
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
