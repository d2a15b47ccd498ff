// Package keeper runs in each balancer and keeps shards of the ledger: it holds
// a shard's lease in the platform, writes its documents and answers the agents.
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

// Error is the class of all errors of this layer.
var Error = errs.Class("keeper")

// ErrStopped tells that the keeper was stopped.
var ErrStopped = errs.New("keeper is stopped")

// Balancers is the list of known balancers.
type Balancers interface {
	Balancers() []membership.Record
}

// Config holds what a Keeper works with.
type Config struct {
	Store platform.Store
	// RPC is the server on which MethodSlice is registered.
	RPC *rpc.Server
	// Allowances returns the plans in force. A nil result allows nothing. It is
	// called from the control goroutine and must not block.
	Allowances func() ledger.Allowances
	Balancers  Balancers
	// Agents returns the number of agents of a service. Nil counts one.
	Agents func(model.Service) int
	Node   model.NodeID
	// Control is the address at which RPC is served.
	Control netip.AddrPort
	Log     *logrus.Entry
	// Wall reads the wall clock, which decides the month. Nil takes time.Now.
	Wall func() time.Time
}

const (
	callQueue = 1024
	// maxParked is the number of requests of one shard that may wait for a
	// write, and parkTime the longest wait.
	maxParked = 1024
	parkTime  = 250 * time.Millisecond
	tick      = 25 * time.Millisecond
)

// Owner keeps the shards that this balancer holds.
type Owner struct {
	config Config
	calls  chan *call
	events chan event
	quit   chan struct{}
	done   chan struct{}
	once   sync.Once
	ctx    context.Context
	stop   context.CancelFunc

	// The fields below belong to the control goroutine.
	shards   [ledger.ShardCount]shard
	stopping bool
}

// call is one request of an agent. It gets exactly one answer.
type call struct {
	request ledger.Request
	until   model.Instant
	answer  chan answer
}

type answer struct {
	reply ledger.Reply
	err   error
}

// event is the end of a call to the platform. The control goroutine applies it.
type event func()

// New makes a keeper and registers its method. Start begins its work.
func New(config Config) *Owner {
	if config.Wall == nil {
		config.Wall = time.Now
	}
	if config.Agents == nil {
		config.Agents = func(model.Service) int { return 1 }
	}
	k := &Owner{
		config: config,
		calls:  make(chan *call, callQueue),
		events: make(chan event, callQueue),
		quit:   make(chan struct{}),
		done:   make(chan struct{}),
		stop:   func() {},
	}
	for id := range k.shards {
		k.shards[id].id = ledger.ShardID(id)
	}
	config.RPC.Handle(rpc.MethodSlice, rpc.Typed(k.serve))
	return k
}

// Start begins the work of the keeper. It ends with ctx or with Stop.
func (k *Owner) Start(ctx context.Context) {
	k.ctx, k.stop = context.WithCancel(ctx)
	go k.run(k.ctx)
}

// Stop hands all shards over: it writes their documents and ends their leases.
// It returns an error when the context ends first; the leases then run out by
// themselves.
func (k *Owner) Stop(ctx context.Context) error {
	k.once.Do(func() { close(k.quit) })
	var err error
	select {
	case <-k.done:
	case <-ctx.Done():
		err = Error.New("hand-over not finished: %v", ctx.Err())
	}
	k.stop()
	<-k.done
	return err
}

func (k *Owner) serve(ctx context.Context, _ rpc.Peer, request ledger.Request) (ledger.Reply, error) {
	if int(request.Shard) >= ledger.ShardCount {
		return ledger.Reply{}, Error.New("shard %d does not exist", request.Shard)
	}
	call := &call{request: request, until: model.Now().Add(parkTime), answer: make(chan answer, 1)}
	select {
	case k.calls <- call:
	case <-ctx.Done():
		return ledger.Reply{}, Error.Wrap(ctx.Err())
	case <-k.done:
		return ledger.Reply{}, Error.Wrap(ErrStopped)
	}
	select {
	case answer := <-call.answer:
		return answer.reply, answer.err
	case <-ctx.Done():
		return ledger.Reply{}, Error.Wrap(ctx.Err())
	case <-k.done:
		return ledger.Reply{}, Error.Wrap(ErrStopped)
	}
}

func (k *Owner) now() ledger.Moment {
	return ledger.Moment{At: model.Now(), Wall: k.config.Wall()}
}

func (k *Owner) terms() ledger.Terms {
	allowances := k.config.Allowances()
	if allowances == nil {
		allowances = nothing{}
	}
	return ledger.Terms{Allowances: allowances, Agents: k.config.Agents}
}

// nothing allows nothing.
type nothing struct{}

func (nothing) Allowance(model.Customer, model.Service) (plan.Allowance, bool) {
	return plan.Allowance{}, false
}
