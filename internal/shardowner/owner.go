// Package shardowner runs in each balancer and makes it the owner of shards of
// the allowance ledger. The owner of a shard holds the shard's lease in the
// platform, which is the external key-value store, writes the shard's documents
// and answers the agents, which ask for parts of customers' allowances. A unit is one
// served request. The ceilings document bounds the units that may be granted for each
// customer and service in a month, and the metering document holds the totals of the
// units served. While the platform does not answer, the owner continues to grant up to
// the ceilings already stored.
//
// The error prefix, the metrics and some log events call a shard owner "keeper":
// operators search for these names.
package shardowner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/ledger"
	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

// Error is the class of all errors of this package.
var Error = errs.Class("keeper")

// ErrStopped is returned to calls after the Owner has stopped.
var ErrStopped = errs.New("shard owner is stopped")

// Balancers lists the known balancers.
type Balancers interface {
	Balancers() []membership.Record
}

// Config holds the dependencies of an Owner.
type Config struct {
	Store platform.Store
	// RPC is the server on which rpc.MethodAllowanceSlice is registered.
	RPC *rpc.Server
	// Allowances returns the plans in force; a nil result allows nothing. It is
	// called from the control goroutine and must not block.
	Allowances func() ledger.Allowances
	Balancers  Balancers
	// Agents returns the number of agents of a service. If it is nil, one agent
	// is assumed.
	Agents func(model.Service) int
	Node   model.NodeID
	// Control is the address at which RPC is served.
	Control netip.AddrPort
	Log     *logrus.Entry
	// Wall returns the wall-clock time, which determines the month. The default
	// is time.Now.
	Wall func() time.Time
}

const (
	// callQueue is the capacity of each of the two queues of the control goroutine.
	callQueue = 1024
	// maxParked is the maximum number of requests per shard that wait for a
	// write or a lease call, and parkTimeout the longest wait.
	maxParked    = 1024
	parkTimeout  = 250 * time.Millisecond
	tickInterval = 25 * time.Millisecond
)

// Owner owns the shards whose leases this balancer holds.
type Owner struct {
	config Config
	calls  chan *call
	events chan event
	// Closing quit makes the control goroutine hand all shards over; done is closed
	// when it has ended. once guards quit.
	quit chan struct{}
	done chan struct{}
	once sync.Once
	// ctx is the context of the platform calls, and stop cancels it.
	ctx  context.Context
	stop context.CancelFunc

	// The fields below are confined to the control goroutine.
	shards   [ledger.ShardCount]shard
	stopping bool
}

// call is one request of an agent. It gets exactly one answer, or none if the
// Owner stops first. A parked call is not kept waiting beyond its deadline.
type call struct {
	request  ledger.Request
	deadline model.Instant
	answer   chan answer
}

type answer struct {
	reply ledger.Reply
	err   error
}

// event applies the result of a platform call. It runs in the control
// goroutine.
type event func()

// New returns an Owner and registers its RPC method. Call Start to run it.
func New(config Config) *Owner {
	if config.Wall == nil {
		config.Wall = time.Now
	}
	if config.Agents == nil {
		config.Agents = func(model.Service) int { return 1 }
	}
	o := &Owner{
		config: config,
		calls:  make(chan *call, callQueue),
		events: make(chan event, callQueue),
		quit:   make(chan struct{}),
		done:   make(chan struct{}),
		stop:   func() {},
	}
	for id := range o.shards {
		o.shards[id].id = ledger.ShardID(id)
	}
	config.RPC.Handle(rpc.MethodAllowanceSlice, rpc.TypedHandler(o.serve))
	return o
}

// Start runs the Owner until ctx ends or Stop has handed all shards over. If ctx
// ends first, the shards are not handed over.
func (o *Owner) Start(ctx context.Context) {
	o.ctx, o.stop = context.WithCancel(ctx)
	go o.run(o.ctx)
}

// Stop hands all shards over: it writes their documents and revokes their
// leases. It returns an error if ctx ends first; the remaining leases then
// expire.
func (o *Owner) Stop(ctx context.Context) error {
	o.once.Do(func() { close(o.quit) })
	var err error
	select {
	case <-o.done:
	case <-ctx.Done():
		err = Error.New("shards not handed over: %v", ctx.Err())
	}
	o.stop()
	<-o.done
	return err
}

// serve handles rpc.MethodAllowanceSlice. It passes the request to the control
// goroutine and waits for the answer.
func (o *Owner) serve(ctx context.Context, _ rpc.Peer, request ledger.Request) (ledger.Reply, error) {
	if int(request.Shard) >= ledger.ShardCount {
		return ledger.Reply{}, Error.New("shard %d does not exist", request.Shard)
	}
	call := &call{request: request, deadline: model.Now().Add(parkTimeout), answer: make(chan answer, 1)}
	select {
	case o.calls <- call:
	case <-ctx.Done():
		return ledger.Reply{}, Error.Wrap(ctx.Err())
	case <-o.done:
		return ledger.Reply{}, Error.Wrap(ErrStopped)
	}
	select {
	case answer := <-call.answer:
		return answer.reply, answer.err
	case <-ctx.Done():
		return ledger.Reply{}, Error.Wrap(ctx.Err())
	case <-o.done:
		return ledger.Reply{}, Error.Wrap(ErrStopped)
	}
}

func (o *Owner) now() ledger.Moment {
	return ledger.Moment{At: model.Now(), Wall: o.config.Wall()}
}

func (o *Owner) terms() ledger.Terms {
	allowances := o.config.Allowances()
	if allowances == nil {
		allowances = noAllowances{}
	}
	return ledger.Terms{Allowances: allowances, Agents: o.config.Agents}
}

// noAllowances allows nothing.
type noAllowances struct{}

func (noAllowances) Allowance(model.Customer, model.Service) (plan.Allowance, bool) {
	return plan.Allowance{}, false
}
