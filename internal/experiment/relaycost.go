package experiment

import (
	"context"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/balsamlink/balsamlink/internal/load"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/standin/deployment"
	"github.com/balsamlink/balsamlink/internal/standin/fleet"
	"github.com/balsamlink/balsamlink/internal/standin/target"
)

func init() { Register("relay-cost", RelayCost) }

const (
	// relaySlots lets the path and not the targets bound the rate.
	relaySlots = 512
	// relayCallers is the number of callers that send without a pause.
	relayCallers = 32
	relayFile    = 1 << 10
	relayTime    = 5 * time.Second
	// datagramSize is the size of a relayed datagram, in bytes.
	datagramSize = 1200
	// clockTick is the unit of processor time in /proc, in seconds.
	clockTick = 0.01
	// The least shares of the baselines that are to be reached.
	leastRequestShare  = 0.8
	leastDatagramShare = 0.7
	// The fields of /proc/PID/stat with user and system time, counted after the
	// program's name.
	fieldUserTime   = 11
	fieldSystemTime = 12
)

// RelayCost compares the whole path with the same callers straight at a bare
// QUIC server, and one balancer with a bare relay of datagrams.
func RelayCost(ctx context.Context, env Env) (Result, error) {
	shape := deployment.Shape{
		Name: "relay", Zones: []model.Zone{"a"}, Balancers: 2, Bare: true, ServiceTime: time.Microsecond,
		Services: []deployment.ServiceShape{{Name: "memberdesk", Targets: 2, Slots: relaySlots}},
	}
	running, err := env.start(ctx, shape)
	if err != nil {
		return Result{}, err
	}
	defer running.Kill()
	var result Result
	if err := compareRequests(ctx, env, running, &result); err != nil {
		return result, err
	}
	running.Kill()
	return result, compareDatagrams(ctx, env, &result)
}

// throughput is what one run of callers gave.
type throughput struct {
	rate       float64
	cpuRequest float64
	p50, p99   float64
	// cpu is the processor time of each kind of process, in µs a request.
	cpu map[string]float64
}

func compareRequests(ctx context.Context, env Env, running *fleet.Fleet, result *Result) error {
	service := running.Layout.Services[0]
	path, err := env.throughput(ctx, running, service.Address)
	if err != nil {
		return err
	}
	bare, err := env.throughput(ctx, running, running.Layout.Bare)
	if err != nil {
		return err
	}
	result.AtLeast("requests_per_second_share", path.rate/bare.rate, leastRequestShare)
	result.Info("path_requests_per_second", path.rate)
	result.Info("bare_requests_per_second", bare.rate)
	result.Info("path_cpu_us_per_request", path.cpuRequest)
	result.Info("bare_cpu_us_per_request", bare.cpuRequest)
	result.Info("path_p50_ms", path.p50)
	result.Info("bare_p50_ms", bare.p50)
	result.Info("path_p99_ms", path.p99)
	result.Info("bare_p99_ms", bare.p99)
	for _, kind := range slices.Sorted(maps.Keys(path.cpu)) {
		result.Info("path_cpu_us_per_request_"+kind, path.cpu[kind])
	}
	return nil
}

// throughput sends requests without a pause, once to warm the targets up and
// once to measure. Processor time is that of all
// processes of the fleet, not of the callers.
func (e Env) throughput(ctx context.Context, running *fleet.Fleet, address netip.AddrPort) (throughput, error) {
	config, err := e.mixedLoad(running.Layout)
	if err != nil {
		return throughput{}, err
	}
	config.Feeds, config.Bookings, config.Files = 0, 0, relayCallers
	config.Pause, config.FileSize = 0, relayFile
	config.Duration = e.scaled(relayTime)
	config.Services = []load.Service{{Name: running.Layout.Services[0].Name, Address: address}}
	if _, err := load.Run(ctx, config, nil); err != nil {
		return throughput{}, Error.Wrap(err)
	}
	before := cpuTimes(running)
	begin := time.Now()
	recorder, err := load.Run(ctx, config, nil)
	if err != nil {
		return throughput{}, Error.Wrap(err)
	}
	elapsed := time.Since(begin).Seconds()
	after := cpuTimes(running)
	summary := recorder.Summarize(emptyLedger())
	if summary.Answered == 0 || summary.Answered != summary.Sent {
		return throughput{}, Error.New("%d of %d requests were answered", summary.Answered, summary.Sent)
	}
	answered := float64(summary.Answered)
	got := throughput{rate: answered / elapsed, p50: summary.P50MS, p99: summary.P99MS, cpu: map[string]float64{}}
	for kind, used := range after {
		got.cpu[kind] = (used - before[kind]) * usPerSecond / answered
		got.cpuRequest += got.cpu[kind]
	}
	return got, nil
}

// cpuTimes returns the processor time of each kind of process, in seconds.
func cpuTimes(running *fleet.Fleet) map[string]float64 {
	sums := map[string]float64{}
	for _, spec := range running.Layout.Processes {
		sums[kindOfProcess(spec)] += processTime(running.PID(spec.Name))
	}
	return sums
}

// kindOfProcess returns the program, or for the stand-ins which one it is.
func kindOfProcess(spec deployment.Process) string {
	if spec.Program == "balsamdev" {
		return spec.Args[0]
	}
	return spec.Program
}

const usPerSecond = 1e6

func processTime(pid int) float64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldSystemTime {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[fieldUserTime], 64)
	system, _ := strconv.ParseFloat(fields[fieldSystemTime], 64)
	return (user + system) * clockTick
}

// emptyLedger stands for runs whose targets are not asked.
func emptyLedger() target.Ledger { return target.Ledger{} }
