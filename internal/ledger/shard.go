package ledger

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// The errors of an exchange, wrapped in Error. Test them with errors.Is.
var (
	// ErrStale tells that a newer exchange of the agent is known.
	ErrStale = errs.New("stale exchange")
	// ErrSuperseded tells that the agent knows a keeper with a higher fence.
	ErrSuperseded = errs.New("keeper is superseded")
	// ErrMalformed tells that a request breaks a bound.
	ErrMalformed = errs.New("malformed slice request")
	// ErrFull tells that a bounded table of the shard is full.
	ErrFull = errs.New("shard is full")
	// ErrDeferred tells that the request has to wait for a write of ceilings.
	// The request had no effect and is to be brought again.
	ErrDeferred = errs.New("waiting for a ceiling")
)

const (
	// MaxSliceRequests and MaxUses bound one request.
	MaxSliceRequests = 128
	MaxUsageEntries  = 256

	maxNameSize = 256
	maxAgents   = 8192
	maxAccounts = 8192
	// learnTime is how long a new keeper lets agents tell their in-flight slots
	// before it grants further ones.
	learnTime = 3 * time.Second
	// slotTerm is how long the slots of a silent agent stay reserved.
	slotTerm = 30 * time.Second
	// accountIdle is how long the rate of an unused account is remembered.
	accountIdle = 5 * time.Minute
)

// Moment is a point in time on both clocks. The wall clock decides only the
// month.
type Moment struct {
	At   model.Instant
	Wall time.Time
}

// Allowances looks up what a customer's plan allows of a service.
type Allowances interface {
	Allowance(model.Customer, model.Service) (plan.Allowance, bool)
}

// Terms is what a shard needs to know about the deployment.
type Terms struct {
	Allowances Allowances
	// Agents returns the number of agents of a service.
	Agents func(model.Service) int
}

// Shard is the state of one shard at its keeper.
type Shard struct {
	id      ShardID
	fence   Fence
	owner   uint64
	write   uint64
	started model.Instant
	closing bool

	units  map[unitKey]*unitState
	closed Month
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
// when they are granted and stay so unless they are returned.
type unitState struct {
	ceiling   uint64
	proposed  uint64
	committed uint64
	// raise tells that the ceiling is to be raised with the next write.
	raise bool
}

// inForce returns the ceiling that holds whatever becomes of an open write.
func (u *unitState) inForce() uint64 { return min(u.ceiling, u.proposed) }

func (u *unitState) free(allowed uint64) uint64 {
	limit := min(u.inForce(), allowed)
	if limit <= u.committed {
		return 0
	}
	return limit - u.committed
}

// rateState holds the rate and the in-flight slots of one account.
type rateState struct {
	bucket bucket
	slots  map[model.NodeID]uint32
	leased uint32
	used   model.Instant
}

func (r *rateState) lease(node model.NodeID, slots uint32) {
	r.leased += slots - r.slots[node]
	if slots == 0 {
		delete(r.slots, node)
		return
	}
	r.slots[node] = slots
}

type agentState struct {
	incarnation uint64
	seq         uint64
	reply       Reply
	seen        model.Instant
}

// NewShard starts a keeper from the persistent documents. All that they allow
// counts as granted. The fence is one above those of the documents, and owner
// is a number that no other keeper has drawn.
func NewShard(id ShardID, owner uint64, now Moment, ceilings Ceilings, metering Metering) *Shard {
	s := &Shard{
		id:      id,
		fence:   max(ceilings.Fence, metering.Fence) + 1,
		owner:   owner,
		started: now.At,
		units:   map[unitKey]*unitState{},
		closed:  ceilings.Closed,
		rates:   map[Account]*rateState{},
		agents:  map[model.NodeID]*agentState{},
	}
	for _, c := range ceilings.Ceilings {
		key := unitKey{Month: c.Month, Account: Account{Customer: c.Customer, Service: c.Service}}
		s.units[key] = &unitState{ceiling: c.Units, proposed: c.Units, committed: c.Units}
	}
	s.metering = newMeteringWriter(metering)
	return s
}

// Fence returns the fence of this keeper.
func (s *Shard) Fence() Fence { return s.fence }

// OwnerID returns the number that this keeper drew.
func (s *Shard) OwnerID() uint64 { return s.owner }

// Exchange serves one request. With final set it grants what it has instead of
// returning ErrDeferred.
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
	if !final && s.mustWait(now, terms, req) {
		return Reply{}, Error.Wrap(ErrDeferred)
	}
	s.metering.stage(now, req)
	reply := Reply{IsOwner: true, Fence: s.fence, Seq: req.Seq}
	for _, want := range req.SliceRequests {
		reply.Grants = append(reply.Grants, s.grant(now, terms, req, want))
	}
	agent.seq = req.Seq
	agent.reply = reply
	agent.seen = now.At
	return s.acknowledge(reply, req), nil
}

func (s *Shard) check(req Request) error {
	if req.Fence > s.fence {
		return Error.Wrap(ErrSuperseded)
	}
	if req.Shard != s.id {
		return Error.New("%w: shard %d instead of %d", ErrMalformed, req.Shard, s.id)
	}
	if len(req.SliceRequests) > MaxSliceRequests || len(req.Usage) > MaxUsageEntries {
		return Error.New("%w: %d wants and %d uses", ErrMalformed, len(req.SliceRequests), len(req.Usage))
	}
	if req.Node == "" || len(req.Node) > maxNameSize {
		return Error.New("%w: node", ErrMalformed)
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

// agent returns the state of the sender. A new incarnation has no open
// requests, so its slots are free again.
func (s *Shard) agent(now Moment, req Request) (*agentState, error) {
	agent := s.agents[req.Node]
	if agent == nil && len(s.agents) >= maxAgents {
		return nil, Error.New("%w: %d agents", ErrFull, len(s.agents))
	}
	if agent == nil || req.Incarnation > agent.incarnation {
		s.freeSlots(req.Node)
		agent = &agentState{incarnation: req.Incarnation, seen: now.At}
		s.agents[req.Node] = agent
	}
	if req.Incarnation < agent.incarnation || req.Seq < agent.seq || req.Seq == 0 {
		return nil, Error.Wrap(ErrStale)
	}
	return agent, nil
}

func (s *Shard) freeSlots(node model.NodeID) {
	for _, rate := range s.rates {
		rate.lease(node, 0)
	}
}

func (s *Shard) acknowledge(reply Reply, req Request) Reply {
	reply.Acknowledged = s.metering.acknowledged(req.Node, req.Incarnation)
	return reply
}

// mustWait reports whether a want can get units only after a higher ceiling
// was written, and notes that it is to be raised.
func (s *Shard) mustWait(now Moment, terms Terms, req Request) bool {
	wait := false
	for _, want := range req.SliceRequests {
		allowance, allowed := terms.Allowances.Allowance(want.Account.Customer, want.Account.Service)
		if !allowed || want.Units == 0 || !s.open(now, want.Month) {
			continue
		}
		units := s.unit(want.Month, want.Account)
		if units == nil || units.free(allowance.UnitsPerMonth) > 0 {
			continue
		}
		if units.committed < allowance.UnitsPerMonth {
			units.raise = true
			wait = true
		}
	}
	return wait && !s.closing
}

func (s *Shard) open(now Moment, month Month) bool {
	return month > s.closed && MonthsAt(now.Wall).Holds(month)
}

// unit returns the state of an account in a month, or nil when the table is
// full.
func (s *Shard) unit(month Month, account Account) *unitState {
	key := unitKey{Month: month, Account: account}
	units := s.units[key]
	if units == nil && len(s.units) < maxAccounts {
		units = &unitState{}
		s.units[key] = units
	}
	return units
}

func (s *Shard) rate(now Moment, account Account) *rateState {
	rate := s.rates[account]
	if rate == nil && len(s.rates) < maxAccounts {
		rate = &rateState{
			bucket: bucket{filled: s.started},
			slots:  map[model.NodeID]uint32{},
		}
		s.rates[account] = rate
	}
	if rate != nil {
		rate.used = now.At
	}
	return rate
}

// Sweep forgets silent agents and unused accounts.
func (s *Shard) Sweep(now Moment) {
	for node, agent := range s.agents {
		if now.At.Sub(agent.seen) > slotTerm {
			s.freeSlots(node)
		}
		if now.At.Sub(agent.seen) > accountIdle {
			delete(s.agents, node)
		}
	}
	for account, rate := range s.rates {
		if rate.leased == 0 && now.At.Sub(rate.used) > accountIdle {
			delete(s.rates, account)
		}
	}
	s.closeMonths(MonthsAt(now.Wall).First)
}

// closeMonths ends the grants of all months before first.
func (s *Shard) closeMonths(first Month) {
	s.closed = max(s.closed, first-1)
	if s.ceilings.open {
		return
	}
	for key := range s.units {
		if key.Month <= s.closed {
			delete(s.units, key)
		}
	}
}
