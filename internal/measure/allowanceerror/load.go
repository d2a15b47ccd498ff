package allowanceerror

import (
	"math/rand/v2"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

const (
	// nodes is the number of agents that admit requests.
	nodes = 40
	// runTime is the length of a run in virtual time.
	runTime = 60 * time.Second
	// A load that moves does so within moveDuration from moveStart on.
	moveStart       = 30 * time.Second
	moveDuration    = time.Second
	meanServiceTime = 50 * time.Millisecond
)

// allowance is the plan of the simulated customer.
var allowance = plan.Allowance{RequestsPerSecond: 200, Burst: 50, InFlight: 100, UnitsPerMonth: 10_000_000}

// arrival is one request of a load; duration is its service time.
type arrival struct {
	at       model.Instant
	node     int
	duration time.Duration
}

// load is a stream of requests and the plan that applies to it.
type load struct {
	// name is part of the results.
	name string
	// rate is the mean number of requests per second.
	rate float64
	// units replaces the UnitsPerMonth of allowance, and inFlight its InFlight unless it
	// is 0.
	units    uint64
	inFlight uint32
	// moves shifts all requests to node 0, within moveDuration from moveStart on.
	moves    bool
	arrivals []arrival
}

func loads(seed uint64) []load {
	all := []load{
		{name: "steady at 90% of the rate", rate: 180, units: allowance.UnitsPerMonth},
		{name: "steady at the rate", rate: 200, units: allowance.UnitsPerMonth},
		{name: "steady at twice the rate", rate: 400, units: allowance.UnitsPerMonth},
		{name: "moves to one node", rate: 180, units: allowance.UnitsPerMonth, moves: true},
		{name: "units run out", rate: 180, units: 5000},
		{name: "few slots", rate: 180, units: allowance.UnitsPerMonth, inFlight: 18},
	}
	for i := range all {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		all[i].arrivals = all[i].drawArrivals(random)
	}
	return all
}

// drawArrivals generates Poisson arrivals with exponential service times.
func (l load) drawArrivals(random *rand.Rand) []arrival {
	var arrivals []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / l.rate * float64(time.Second))
		if at >= runTime {
			return arrivals
		}
		duration := time.Duration(random.ExpFloat64() * float64(meanServiceTime))
		arrivals = append(arrivals, arrival{at: start.Add(at), node: l.node(random, at), duration: duration})
	}
}

// node selects a node at random. In a load that moves, the share of node 0 rises
// linearly to 1 within moveDuration.
func (l load) node(random *rand.Rand, at time.Duration) int {
	movedShare := float64(at-moveStart) / float64(moveDuration)
	if l.moves && random.Float64() < movedShare {
		return 0
	}
	return random.IntN(nodes)
}

// plan returns the allowance of the simulated customer under this load.
func (l load) plan() plan.Allowance {
	a := allowance
	a.UnitsPerMonth = l.units
	if l.inFlight > 0 {
		a.InFlight = l.inFlight
	}
	return a
}
