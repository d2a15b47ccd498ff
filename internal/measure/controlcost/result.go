// Package controlcost measures the control-plane cost of one balancer at several
// fleet sizes: bytes, messages, processor time and memory. The balancer is a real
// cluster.Node with real TLS connections over the loopback interface; the other
// nodes are fakes that exchange the same messages.
//
// The balancers form a verification tree (see membership.Assignment): its roots ask
// the platform for the newest out-of-service document, and every other balancer asks
// its parent for its freshness, that is, how long ago the parent's was verified to be
// the newest.
package controlcost

import (
	"math"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("controlcost")

// The required bounds of the control-plane cost of one node at DesignSize.
const (
	// BoundBytesPerSecond bounds the bytes sent and received, as a mean over a day.
	BoundBytesPerSecond = 5000.0
	// BoundCoreShare bounds the processor time, as a share of one core.
	BoundCoreShare = 0.019
	// BoundMemoryBytes bounds the heap and stack memory.
	BoundMemoryBytes = 128 << 20
)

// The required rates at DesignSize. Each restart or failure changes a node's record
// four times: draining, ended, starting and active. The 8 failures a day count as
// restarts.
const (
	restartsPerDay    = 370 + 8
	changesPerRestart = 4
	documentsPerDay   = 350
	secondsPerDay     = 24 * 60 * 60
	// agentsPerService is the mean number of agents of a service: 4700 agents of
	// 1400 services.
	agentsPerService = 4700.0 / 1400.0
)

// Size is the number of nodes of each role in a fleet.
type Size struct {
	Balancers int `json:"balancers"`
	Agents    int `json:"agents"`
}

// Nodes returns the number of nodes of both roles.
func (s Size) Nodes() int { return s.Balancers + s.Agents }

// DesignSize is the fleet size that the system is designed for.
var DesignSize = Size{Balancers: 560, Agents: 4700}

// DefaultSizes holds the fleet sizes measured by default.
var DefaultSizes = []Size{{6, 50}, {56, 470}, {140, 1175}, {280, 2350}, DesignSize}

// Sample is the cost of one balancer in a fleet of one size. Bytes are those sent
// and received on the TCP connections, including TLS records.
type Sample struct {
	Size Size `json:"size"`
	// Watched is the number of nodes that send heartbeats to the balancer.
	Watched int `json:"watched"`
	// BytesPerSecond is measured in the steady state, without changes.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// SentPerSecond is the part of BytesPerSecond that the balancer sent.
	SentPerSecond float64 `json:"sent_per_second"`
	// MessagesPerSecond counts requests and replies, sent and received.
	MessagesPerSecond float64 `json:"messages_per_second"`
	// PacketBytesPerSecond is BytesPerSecond plus 52 bytes of IP and TCP headers per
	// message.
	PacketBytesPerSecond float64 `json:"packet_bytes_per_second"`
	// CoreShare is the processor time of the whole process, including the fakes, as
	// a share of one core.
	CoreShare float64 `json:"core_share"`
	// HeapBytes is the heap and stack memory of the node's records, view and
	// connections, including the fakes' ends of the connections.
	HeapBytes float64 `json:"heap_bytes"`
	// BytesPerChange is the cost of one changed record that arrives four times and
	// is forwarded to four balancers.
	BytesPerChange float64 `json:"bytes_per_change"`
	// BytesPerSync is the cost of one agent fetching one changed record.
	BytesPerSync float64 `json:"bytes_per_sync"`
	// BytesPerDocument is the cost of one fetch of a changed document of
	// DocumentSize.
	BytesPerDocument float64 `json:"bytes_per_document"`
	// DayBytesPerSecond is the mean over a day with the required rates of record and
	// configuration changes.
	DayBytesPerSecond float64 `json:"day_bytes_per_second"`
}

// FittedLine is a straight line fitted to a figure of the samples by least squares,
// over the number of nodes.
type FittedLine struct {
	// PerNode is the slope: the growth of the figure per node.
	PerNode float64 `json:"per_node"`
	// Residual is the root mean square of the samples' vertical distances from the
	// line.
	Residual float64 `json:"residual"`
	// AtDesignSize is the line's value at DesignSize.
	AtDesignSize float64 `json:"at_letter"`
	Bound        float64 `json:"bound"`
	// Met reports whether AtDesignSize is at most Bound.
	Met bool `json:"met"`
}

// Result is the outcome of the measurement.
type Result struct {
	Seed uint64 `json:"seed"`
	// Window is how long the steady state of each size was measured.
	Window  time.Duration `json:"window_nanoseconds"`
	Samples []Sample      `json:"samples"`
	// Bytes is fitted to DayBytesPerSecond, Core to CoreShare and Memory to HeapBytes.
	Bytes  FittedLine `json:"bytes_per_second"`
	Core   FittedLine `json:"core_share"`
	Memory FittedLine `json:"memory_bytes"`
}

// addDayMean sets DayBytesPerSecond from the other figures and the required rates. The
// rate of restarts scales with the fleet size; the rate of configuration changes does
// not. All its local rates are per second.
func (s *Sample) addDayMean() {
	sizeRatio := float64(s.Size.Nodes()) / float64(DesignSize.Nodes())
	changeRate := restartsPerDay * changesPerRestart * sizeRatio / secondsPerDay
	balancerShare := float64(s.Size.Balancers) / float64(s.Size.Nodes())
	// Each node syncs with the first of its watchers that notifies it, so a balancer
	// serves its share of the nodes that it watches. All of them need the record of a
	// balancer, but only the agents of one service need that of an agent.
	syncingNodes := float64(s.Watched) / watchersPerNode
	syncRate := changeRate * (balancerShare*syncingNodes + (1-balancerShare)*agentsPerService/watchersPerNode)
	documentRate := documentsPerDay * (1 + syncingNodes) / secondsPerDay
	s.DayBytesPerSecond = s.BytesPerSecond + changeRate*s.BytesPerChange + syncRate*s.BytesPerSync + documentRate*s.BytesPerDocument
}

// fit fits a line to one figure of all samples by least squares, over the number of
// nodes. If all samples have the same number, the line is their mean.
func fit(samples []Sample, bound float64, figure func(Sample) float64) FittedLine {
	var sumX, sumY, sumXX, sumXY float64
	count := float64(len(samples))
	for _, sample := range samples {
		x, y := float64(sample.Size.Nodes()), figure(sample)
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	var line FittedLine
	if spread := count*sumXX - sumX*sumX; spread > 0 {
		line.PerNode = (count*sumXY - sumX*sumY) / spread
	}
	intercept := (sumY - line.PerNode*sumX) / count
	for _, sample := range samples {
		line.Residual += math.Pow(figure(sample)-intercept-line.PerNode*float64(sample.Size.Nodes()), 2)
	}
	line.Residual = math.Sqrt(line.Residual / count)
	line.AtDesignSize = intercept + line.PerNode*float64(DesignSize.Nodes())
	line.Bound = bound
	line.Met = line.AtDesignSize <= bound
	return line
}
