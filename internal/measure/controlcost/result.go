// Package controlcost measures what one balancer spends on control at several
// sizes of the fleet: bytes, messages, processor time and memory. The balancer
// is a real cluster.Node behind real TLS connections on the loopback; the nodes
// that it deals with are fakes that speak the same messages.
package controlcost

import (
	"math"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("controlcost")

// The letter's bounds for the control of one node.
const (
	BoundBytesPerSecond = 5000.0
	BoundCoreShare      = 0.019
	BoundMemoryBytes    = 128 << 20
)

// The letter's rates. Each restart or failure changes a record four times: it
// drains, leaves or dies, starts and is active.
const (
	restartsPerDay    = 370 + 8
	changesPerRestart = 4
	documentsPerDay   = 350
	secondsPerDay     = 24 * 60 * 60
	// serversPerAddress is the mean number of agents of one service.
	serversPerAddress = 4700.0 / 1400.0
)

// Size is the size of a fleet.
type Size struct {
	Balancers int `json:"balancers"`
	Agents    int `json:"agents"`
}

// Nodes returns the number of nodes of both roles.
func (s Size) Nodes() int { return s.Balancers + s.Agents }

// LetterSize is the fleet to design for.
var LetterSize = Size{Balancers: 560, Agents: 4700}

// DefaultSizes are the sizes measured by default.
var DefaultSizes = []Size{{6, 50}, {56, 470}, {140, 1175}, {280, 2350}, LetterSize}

// Sample is what one balancer spends in a fleet of one size. Bytes are those on
// the TCP connections, TLS records included, sent and received together.
type Sample struct {
	Size    Size `json:"size"`
	Watched int  `json:"watched"`
	// BytesPerSecond is in the steady state, without any change.
	BytesPerSecond    float64 `json:"bytes_per_second"`
	SentPerSecond     float64 `json:"sent_per_second"`
	MessagesPerSecond float64 `json:"messages_per_second"`
	// PacketBytesPerSecond adds 52 bytes of IP and TCP headers to each message.
	PacketBytesPerSecond float64 `json:"packet_bytes_per_second"`
	// CoreShare is the processor time of the whole process, fakes included.
	CoreShare float64 `json:"core_share"`
	// HeapBytes is what the node's records, view and connections take on the
	// heap, the fakes' ends of the connections included.
	HeapBytes float64 `json:"heap_bytes"`
	// BytesPerChange is for one changed record that comes four times and is
	// passed on to four balancers.
	BytesPerChange float64 `json:"bytes_per_change"`
	// BytesPerSync is for one agent that fetches one changed record.
	BytesPerSync float64 `json:"bytes_per_sync"`
	// BytesPerDocument is for one fetch of a changed document of DocumentSize.
	BytesPerDocument float64 `json:"bytes_per_document"`
	// DayBytesPerSecond is the mean over a day with the letter's churn and
	// changes of configuration.
	DayBytesPerSecond float64 `json:"day_bytes_per_second"`
}

// Slope is a straight line fitted through the samples.
type Slope struct {
	// PerNode is how much the figure grows with each node of the fleet.
	PerNode float64 `json:"per_node"`
	// Residual is the root of the mean squared distance from the line.
	Residual float64 `json:"residual"`
	// AtLetter is the line's value at the letter's size.
	AtLetter float64 `json:"at_letter"`
	Bound    float64 `json:"bound"`
	Met      bool    `json:"met"`
}

// Result is the outcome of the measurement.
type Result struct {
	Seed    uint64        `json:"seed"`
	Window  time.Duration `json:"window_nanoseconds"`
	Samples []Sample      `json:"samples"`
	Bytes   Slope         `json:"bytes_per_second"`
	Core    Slope         `json:"core_share"`
	Memory  Slope         `json:"memory_bytes"`
}

// day puts the parts of a sample together at the letter's rates. Churn follows
// the fleet; changes of configuration do not.
func (s *Sample) day() {
	share := float64(s.Size.Nodes()) / float64(LetterSize.Nodes())
	changes := restartsPerDay * changesPerRestart * share / secondsPerDay
	balancers := float64(s.Size.Balancers) / float64(s.Size.Nodes())
	// An agent compares views with the first of its watchers that tells it.
	fetchers := float64(s.Watched) / watchersEach
	syncs := changes * (balancers*fetchers + (1-balancers)*serversPerAddress/watchersEach)
	documents := documentsPerDay * (1 + fetchers) / secondsPerDay
	s.DayBytesPerSecond = s.BytesPerSecond + changes*s.BytesPerChange + syncs*s.BytesPerSync + documents*s.BytesPerDocument
}

// fit lays a line through one figure of all samples.
func fit(samples []Sample, bound float64, figure func(Sample) float64) Slope {
	var sumX, sumY, sumXX, sumXY float64
	count := float64(len(samples))
	for _, sample := range samples {
		x, y := float64(sample.Size.Nodes()), figure(sample)
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	var line Slope
	if spread := count*sumXX - sumX*sumX; spread > 0 {
		line.PerNode = (count*sumXY - sumX*sumY) / spread
	}
	origin := (sumY - line.PerNode*sumX) / count
	for _, sample := range samples {
		line.Residual += math.Pow(figure(sample)-origin-line.PerNode*float64(sample.Size.Nodes()), 2)
	}
	line.Residual = math.Sqrt(line.Residual / count)
	line.AtLetter = origin + line.PerNode*float64(LetterSize.Nodes())
	line.Bound = bound
	line.Met = line.AtLetter <= bound
	return line
}
