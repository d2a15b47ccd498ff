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
	// relaySlots is large enough that the path, not the targets, limits the rate.
	relaySlots = 512
	// relayCallers is the number of callers that send without pauses.
	relayCallers = 32
	// relayFileSize is the size of a requested file, in bytes.
	relayFileSize = 1 << 10
	// requestRunTime is the length of each run of callers.
	requestRunTime = 5 * time.Second
	// datagramSize is the size of a relayed datagram, in bytes.
	datagramSize = 1200
	// clockTick is the unit of processor time in /proc/PID/stat, in seconds.
	clockTick = 0.01
	// The smallest acceptable rates as shares of the baselines.
	minRequestShare  = 0.8
	minDatagramShare = 0.7
	// The indices of user and system time among the fields of /proc/PID/stat that
	// follow the program's name.
	fieldUserTime   = 11
	fieldSystemTime = 12
)

// RelayCost compares the path through balancers and agents with a bare QUIC server
// that the same callers reach directly, and the data path of one balancer with a
// bare datagram relay.
func RelayCost(ctx context.Context, env Env) (Result, error) {
	shape := deployment.Shape{
		Name: "relay", Zones: []model.Zone{"a"}, Balancers: 2, Bare: true, ServiceTime: time.Microsecond,
		Services: []deployment.ServiceShape{{Name: "memberdesk", Targets: 2, Slots: relaySlots}},
	}
	f, err := env.start(ctx, shape)
	if err != nil {
		return Result{}, err
	}
	defer f.Kill()
	var result Result
	if err := compareRequests(ctx, env, f, &result); err != nil {
		return result, err
	}
	f.Kill()
	return result, compareDatagrams(ctx, env, &result)
}

// throughput is the result of one run of callers.
type throughput struct {
	// rate is in requests per second.
	rate float64
	// cpuPerRequest is the processor time of all processes, in µs per request.
	cpuPerRequest float64
	// p50 and p99 are latencies in milliseconds.
	p50, p99 float64
	// cpuByKind is the processor time of each kind of process, in µs per request.
	cpuByKind map[string]float64
}

// compareRequests measures the same load through balancers and agents and directly at
// the bare server, and compares the rates.
func compareRequests(ctx context.Context, env Env, f *fleet.Fleet, result *Result) error {
	service := f.Layout.Services[0]
	path, err := env.measureThroughput(ctx, f, service.Address)
	if err != nil {
		return err
	}
	bare, err := env.measureThroughput(ctx, f, f.Layout.Bare)
	if err != nil {
		return err
	}
	result.AtLeast("requests_per_second_share", path.rate/bare.rate, minRequestShare)
	result.Info("path_requests_per_second", path.rate)
	result.Info("bare_requests_per_second", bare.rate)
	result.Info("path_cpu_us_per_request", path.cpuPerRequest)
	result.Info("bare_cpu_us_per_request", bare.cpuPerRequest)
	result.Info("path_p50_ms", path.p50)
	result.Info("bare_p50_ms", bare.p50)
	result.Info("path_p99_ms", path.p99)
	result.Info("bare_p99_ms", bare.p99)
	for _, kind := range slices.Sorted(maps.Keys(path.cpuByKind)) {
		result.Info("path_cpu_us_per_request_"+kind, path.cpuByKind[kind])
	}
	return nil
}

// measureThroughput sends requests without pauses twice: the first run warms up the
// targets, the second is measured. Processor time covers all processes of the
// fleet, not the callers.
func (e Env) measureThroughput(ctx context.Context, f *fleet.Fleet, address netip.AddrPort) (throughput, error) {
	config, err := e.mixedLoad(f.Layout)
	if err != nil {
		return throughput{}, err
	}
	config.Feeds, config.Bookings, config.Files = 0, 0, relayCallers
	config.Pause, config.FileSize = 0, relayFileSize
	config.Duration = e.scaled(requestRunTime)
	config.Services = []load.Service{{Name: f.Layout.Services[0].Name, Address: address}}
	if _, err := load.Run(ctx, config, nil); err != nil {
		return throughput{}, Error.Wrap(err)
	}
	before := cpuTimes(f)
	started := time.Now()
	recorder, err := load.Run(ctx, config, nil)
	if err != nil {
		return throughput{}, Error.Wrap(err)
	}
	elapsed := time.Since(started).Seconds()
	after := cpuTimes(f)
	summary := recorder.Summarize(emptyLedger())
	if summary.Answered == 0 || summary.Answered != summary.Sent {
		return throughput{}, Error.New("%d of %d requests were answered", summary.Answered, summary.Sent)
	}
	answered := float64(summary.Answered)
	measured := throughput{rate: answered / elapsed, p50: summary.P50MS, p99: summary.P99MS, cpuByKind: map[string]float64{}}
	for kind, used := range after {
		measured.cpuByKind[kind] = (used - before[kind]) * usPerSecond / answered
		measured.cpuPerRequest += measured.cpuByKind[kind]
	}
	return measured, nil
}

// cpuTimes returns the processor time of each kind of process, in seconds.
func cpuTimes(f *fleet.Fleet) map[string]float64 {
	sums := map[string]float64{}
	for _, spec := range f.Layout.Processes {
		sums[kindOfProcess(spec)] += processTime(f.PID(spec.Name))
	}
	return sums
}

// kindOfProcess returns the program's name, or the subcommand of balsamdev for a
// stand-in.
func kindOfProcess(spec deployment.Process) string {
	if spec.Program == "balsamdev" {
		return spec.Args[0]
	}
	return spec.Program
}

// usPerSecond is the number of microseconds per second.
const usPerSecond = 1e6

// processTime returns the user and system time of a process in seconds, 0 if it
// cannot be read.
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

// emptyLedger is used for runs whose results are not compared with the targets'
// ledgers.
func emptyLedger() target.Ledger { return target.Ledger{} }
