package ledger

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// The errors of Shard.Exchange, wrapped in Error. Test for them with errors.Is.
var (
	// ErrStale is returned for a request that is older than the agent's newest one,
	// or of an earlier incarnation of the agent.
	ErrStale = errs.New("stale exchange")
	// ErrSuperseded is returned when the agent has seen an owner with a higher
	// fence.
	ErrSuperseded = errs.New("shard owner is superseded")
	// ErrMalformed is returned when a request violates a bound or belongs to another
	// shard.
	ErrMalformed = errs.New("malformed slice request")
	// ErrFull is returned when a bounded table of the shard is full.
	ErrFull = errs.New("shard table is full")
	// ErrDeferred is returned when the request must wait for a write of the
	// ceilings. The request had no effect; the caller presents it again later.
	ErrDeferred = errs.New("waiting for a write of the ceilings")
)

const (
	// MaxSliceRequests and MaxUsageEntries bound the lists of one request.
	MaxSliceRequests = 128
	MaxUsageEntries  = 256

	maxNameSize = 256
	maxAgents   = 8192
	maxAccounts = 8192
	// learnPeriod is how long a new owner collects the slots already held by
	// agents before it grants more.
	learnPeriod = 3 * time.Second
	// slotRetention is how long the slots of an unresponsive agent stay reserved.
	slotRetention = 30 * time.Second
	// accountRetention is how long the rate state of an unused account, or the
	// state of an unresponsive agent, is kept.
	accountRetention = 5 * time.Minute
)

// Moment is a point in time on the monotonic clock (At) and on the wall clock
// (Wall). The wall clock determines only months and report ages.
type Moment struct {
	At   model.Instant
	Wall time.Time
}

// Allowances looks up what a customer's plan allows for a service. The second
// result is false if the plan does not allow the service.
type Allowances interface {
	Allowance(model.Customer, model.Service) (plan.Allowance, bool)
}

// Terms are the inputs from the deployment on which a shard bases its grants.
type Terms struct {
	Allowances Allowances
	// Agents returns the number of agents of a service, among which the fallback
	// rate is divided.
	Agents func(model.Service) int
}

// Shard is the state of one shard at its owner. It is not safe for concurrent
// use.
type Shard struct {
	id    ShardID
	fence Fence
	// ownerID and lastWrite are the parts of the WriteID that distinguish this
	// owner and its writes.
	ownerID   uint64
	lastWrite uint64
	started   model.Instant
	closing   bool

	units map[unitKey]*unitState
	// lastClosedMonth is the newest month for which no more units are granted.
	lastClosedMonth Month

	rates  map[Account]*rateState
	agents map[model.NodeID]*agentState

	ceilings ceilingWriter
	metering meteringWriter
}

type unitKey struct {
	Month   Month
	Account Account
}

// unitState counts the units of one account in one month. Units are committed
// when they are granted and remain so unless they are returned.
type unitState struct {
	// ceiling is the persistent ceiling, and proposed the one in the outstanding
	// write; without an outstanding write they are equal.
	ceiling   uint64
	proposed  uint64
	committed uint64
	// raisePending requests a higher ceiling with the next write.
	raisePending bool
}

// effectiveCeiling returns the ceiling that holds whatever the outcome of an
// outstanding write.
func (u *unitState) effectiveCeiling() uint64 { return min(u.ceiling, u.proposed) }

// available returns the number of units that may still be committed. The
// argument is the monthly allowance of the plan.
func (u *unitState) available(unitsPerMonth uint64) uint64 {
	limit := min(u.effectiveCeiling(), unitsPerMonth)
	if limit <= u.committed {
		return 0
	}
	return limit - u.committed
}

// rateState holds the token bucket and the in-flight slots of one account.
type rateState struct {
	bucket bucket
	// slots holds the slots granted to each agent, and grantedSlots their sum.
	slots        map[model.NodeID]uint32
	grantedSlots uint32
	lastUsed     model.Instant
}

func (r *rateState) setSlots(node model.NodeID, slots uint32) {
	r.grantedSlots += slots - r.slots[node]
	if slots == 0 {
		delete(r.slots, node)
		return
	}
	r.slots[node] = slots
}

// agentState is the newest incarnation of an agent and its newest exchange.
type agentState struct {
	incarnation uint64
	seq         uint64
	reply       Reply
	lastSeen    model.Instant
}

// NewShard starts a shard owner from the persistent documents. All units up to
// the stored ceilings count as granted. The new fence is one above the highest
// in the documents; ownerID is a random number that identifies this owner.
func NewShard(id ShardID, ownerID uint64, now Moment, ceilings Ceilings, metering Metering) *Shard {
	s := &Shard{
		id:              id,
		fence:           max(ceilings.Fence, metering.Fence) + 1,
		ownerID:         ownerID,
		started:         now.At,
		units:           map[unitKey]*unitState{},
		lastClosedMonth: ceilings.Closed,
		rates:           map[Account]*rateState{},
		agents:          map[model.NodeID]*agentState{},
	}
	for _, c := range ceilings.Ceilings {
		key := unitKey{Month: c.Month, Account: Account{Customer: c.Customer, Service: c.Service}}
		s.units[key] = &unitState{ceiling: c.Units, proposed: c.Units, committed: c.Units}
	}
	s.metering = newMeteringWriter(metering)
	return s
}

// Fence returns the fence of this owner.
func (s *Shard) Fence() Fence { return s.fence }

// OwnerID returns the random number that identifies this owner.
func (s *Shard) OwnerID() uint64 { return s.ownerID }

// Exchange serves one request. A repeated request gets the same grants again.
// With final set, Exchange grants what is available instead of returning
// ErrDeferred. It returns ErrStale, ErrSuperseded, ErrMalformed, ErrFull or
// ErrDeferred, wrapped in Error.
func (s *Shard) Exchange(now Moment, terms Terms, req Request, final bool) (Reply, error) {
	if err := s.check(req); err != nil {
		return Reply{}, err
	}
	agent, err := s.agent(now, req)
	if err != nil {
		return Reply{}, err
	}
	if req.Seq == agent.seq {
		return s.acknowledge(agent.reply, req), nil
	}
	if !final && s.needsHigherCeiling(now, terms, req) {
		return Reply{}, Error.Wrap(ErrDeferred)
	}
	s.metering.stage(now, req)
	reply := Reply{IsOwner: true, Fence: s.fence, Seq: req.Seq}
	for _, want := range req.SliceRequests {
		reply.Grants = append(reply.Grants, s.grant(now, terms, req, want))
	}
	agent.seq = req.Seq
	agent.reply = reply
	agent.lastSeen = now.At
	return s.acknowledge(reply, req), nil
}

func (s *Shard) check(req Request) error {
	if req.Fence > s.fence {
		return Error.Wrap(ErrSuperseded)
	}
	if req.Shard != s.id {
		return Error.New("%w: request for shard %d reached shard %d", ErrMalformed, req.Shard, s.id)
	}
	if len(req.SliceRequests) > MaxSliceRequests || len(req.Usage) > MaxUsageEntries {
		return Error.New("%w: %d slice requests and %d usage entries", ErrMalformed, len(req.SliceRequests), len(req.Usage))
	}
	if req.Node == "" || len(req.Node) > maxNameSize {
		return Error.New("%w: node name is empty or too long", ErrMalformed)
	}
	for _, want := range req.SliceRequests {
		if err := s.checkAccount(want.Account); err != nil {
			return err
		}
	}
	for _, use := range req.Usage {
		if err := s.checkAccount(use.Account); err != nil {
			return err
		}
	}
	return nil
}

func (s *Shard) checkAccount(account Account) error {
	if len(account.Customer) > maxNameSize || len(account.Service) > maxNameSize {
		return Error.New("%w: account name longer than %d bytes", ErrMalformed, maxNameSize)
	}
	if ShardOf(account.Customer) != s.id {
		return Error.New("%w: customer %q is not in shard %d", ErrMalformed, account.Customer, s.id)
	}
	return nil
}

// agent returns the state of the sender. A new incarnation has no requests in
// flight, so the slots of the previous one are released.
func (s *Shard) agent(now Moment, req Request) (*agentState, error) {
	agent := s.agents[req.Node]
	if agent == nil && len(s.agents) >= maxAgents {
		return nil, Error.New("%w: %d agents", ErrFull, len(s.agents))
	}
	if agent == nil || req.Incarnation > agent.incarnation {
		s.releaseSlots(req.Node)
		agent = &agentState{incarnation: req.Incarnation, lastSeen: now.At}
		s.agents[req.Node] = agent
	}
	if req.Incarnation < agent.incarnation || req.Seq < agent.seq || req.Seq == 0 {
		return nil, Error.Wrap(ErrStale)
	}
	return agent, nil
}

func (s *Shard) releaseSlots(node model.NodeID) {
	for _, rate := range s.rates {
		rate.setSlots(node, 0)
	}
}

// acknowledge returns the reply with the number of the newest persistent report
// of the sender.
func (s *Shard) acknowledge(reply Reply, req Request) Reply {
	reply.Acknowledged = s.metering.acknowledged(req.Node, req.Incarnation)
	return reply
}

// needsHigherCeiling reports whether a slice request can get units only after a
// higher ceiling is written, and requests that write.
func (s *Shard) needsHigherCeiling(now Moment, terms Terms, req Request) bool {
	wait := false
	for _, want := range req.SliceRequests {
		allowance, allowed := terms.Allowances.Allowance(want.Account.Customer, want.Account.Service)
		if !allowed || want.Units == 0 || !s.monthOpen(now, want.Month) {
			continue
		}
		units := s.unit(want.Month, want.Account)
		if units == nil || units.available(allowance.UnitsPerMonth) > 0 {
			continue
		}
		if units.committed < allowance.UnitsPerMonth {
			units.raisePending = true
			wait = true
		}
	}
	return wait && !s.closing
}

func (s *Shard) monthOpen(now Moment, month Month) bool {
	return month > s.lastClosedMonth && MonthsAt(now.Wall).Contains(month)
}

// unit returns the state of an account in a month, or nil if the table is full.
func (s *Shard) unit(month Month, account Account) *unitState {
	key := unitKey{Month: month, Account: account}
	units := s.units[key]
	if units == nil && len(s.units) < maxAccounts {
		units = &unitState{}
		s.units[key] = units
	}
	return units
}

// rate returns the rate state of an account, or nil if the table is full. The
// bucket of a new state is empty and fills from the start of this owner.
func (s *Shard) rate(now Moment, account Account) *rateState {
	rate := s.rates[account]
	if rate == nil && len(s.rates) < maxAccounts {
		rate = &rateState{
			bucket: bucket{refilledAt: s.started},
			slots:  map[model.NodeID]uint32{},
		}
		s.rates[account] = rate
	}
	if rate != nil {
		rate.lastUsed = now.At
	}
	return rate
}

// Sweep releases the slots of unresponsive agents and drops unused accounts and
// past months.
func (s *Shard) Sweep(now Moment) {
	for node, agent := range s.agents {
		if now.At.Sub(agent.lastSeen) > slotRetention {
			s.releaseSlots(node)
		}
		if now.At.Sub(agent.lastSeen) > accountRetention {
			delete(s.agents, node)
		}
	}
	for account, rate := range s.rates {
		if rate.grantedSlots == 0 && now.At.Sub(rate.lastUsed) > accountRetention {
			delete(s.rates, account)
		}
	}
	s.closeMonths(MonthsAt(now.Wall).First)
}

// closeMonths stops grants for all months before first.
func (s *Shard) closeMonths(first Month) {
	s.lastClosedMonth = max(s.lastClosedMonth, first-1)
	if s.ceilings.writePending {
		return
	}
	for key := range s.units {
		if key.Month <= s.lastClosedMonth {
			delete(s.units, key)
		}
	}
}
