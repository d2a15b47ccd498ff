package allowanceerror

import (
	"math/rand/v2"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

const (
	nodes       = 40
	runTime     = 60 * time.Second
	moveAt      = 30 * time.Second
	moveTime    = time.Second
	serviceTime = 50 * time.Millisecond
)

// allowance is the plan of the one customer that is measured.
var allowance = plan.Allowance{RequestsPerSecond: 200, Burst: 50, InFlight: 100, UnitsPerMonth: 10_000_000}

// arrival is one request of the load.
type arrival struct {
	at   model.Instant
	node int
	took time.Duration
}

// load is a stream of requests and the plan that it runs under.
type load struct {
	name     string
	rate     float64
	units    uint64
	slots    uint32
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
		{name: "few slots", rate: 180, units: allowance.UnitsPerMonth, slots: 18},
	}
	for i := range all {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		all[i].arrivals = all[i].draw(random)
	}
	return all
}

// draw makes Poisson arrivals with exponential service times.
func (l load) draw(random *rand.Rand) []arrival {
	var arrivals []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / l.rate * float64(time.Second))
		if at >= runTime {
			return arrivals
		}
		took := time.Duration(random.ExpFloat64() * float64(serviceTime))
		arrivals = append(arrivals, arrival{at: start.Add(at), node: l.node(random, at), took: took})
	}
}

// node spreads requests evenly, or moves them to node 0 within moveTime.
func (l load) node(random *rand.Rand, at time.Duration) int {
	moved := float64(at-moveAt) / float64(moveTime)
	if l.moves && random.Float64() < moved {
		return 0
	}
	return random.IntN(nodes)
}

func (l load) plan() plan.Allowance {
	a := allowance
	a.UnitsPerMonth = l.units
	if l.slots > 0 {
		a.InFlight = l.slots
	}
	return a
}
