// Package allowance is the agent's side of the customers' allowances: it
// admits requests from slices that it gets from the keepers, and reports use.
package allowance

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/ledger"
	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("allowance")

// The errors of Acquire. Test them with errors.Is.
var (
	// ErrNoOwner tells that no keeper answers and no slice is in hand. It is
	// also a Refused.
	ErrNoOwner = errs.New("no keeper answers")
	// ErrStopped tells that the client was closed.
	ErrStopped = errs.New("client is stopped")
)

// Refused is the error of a request that may not run now. Nothing of it was
// counted.
type Refused struct {
	Reason     ledger.Reason
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refused) Error() string {
	return fmt.Sprintf("allowance: refused for %s, retry after %s", r.Reason, r.RetryAfter)
}

// Is makes errors.Is find ErrNoKeeper.
func (r *Refused) Is(target error) bool {
	return target == ErrNoOwner && r.Reason == ledger.ReasonNoOwner
}

// Balancers is the list of known balancers.
type Balancers interface {
	Balancers() []membership.Record
}

// Config holds what a Client works with.
type Config struct {
	RPC       *rpc.Client
	Balancers Balancers
	Node      model.NodeID
	// Incarnation rises with each start of the node. 0 takes the time of day.
	Incarnation uint64
	// Allowances is the agent's own copy of the plans. It may be nil; with it a
	// lowered plan is in force even while no keeper can be reached.
	Allowances ledger.Allowances
	Log        *logrus.Entry
	// Wall reads the wall clock, which decides the month. Nil takes time.Now.
	Wall func() time.Time
}

const (
	callQueue = 1024
	// maxWait is the longest time that a request waits for a slice.
	maxWait = 500 * time.Millisecond
	tick    = 25 * time.Millisecond
)

// Client admits requests by the customers' allowances. All methods are safe
// for concurrent use.
type Client struct {
	config Config
	holder *ledger.AgentQuota

	calls    chan *call
	cancels  chan *call
	releases chan release
	results  chan result
	closing  chan struct{}
	settled  chan struct{}
	done     chan struct{}
	once     sync.Once
	stop     context.CancelFunc

	// The fields below belong to the control goroutine.
	waiting [ledger.ShardCount][]*call
	lines   [ledger.ShardCount]line
}

// line is the way to the keeper of one shard.
type line struct {
	addr    netip.AddrPort
	calling bool
	next    model.Instant
	pause   time.Duration
}

// call is one Acquire. It gets exactly one answer.
type call struct {
	account ledger.Account
	until   model.Instant
	answer  chan ledger.Decision
}

type release struct {
	permit ledger.Permit
	served bool
}

// result is the end of one exchange.
type result struct {
	shard ledger.ShardID
	addr  netip.AddrPort
	reply ledger.Reply
	err   error
}

// New makes a client. Start begins its work.
func New(config Config) *Client {
	if config.Wall == nil {
		config.Wall = time.Now
	}
	if config.Incarnation == 0 {
		config.Incarnation = uint64(time.Now().UnixNano())
	}
	return &Client{
		config:   config,
		holder:   ledger.NewAgentQuota(config.Node, config.Incarnation, config.Allowances),
		calls:    make(chan *call, callQueue),
		cancels:  make(chan *call),
		releases: make(chan release, callQueue),
		results:  make(chan result, ledger.ShardCount),
		closing:  make(chan struct{}),
		settled:  make(chan struct{}),
		done:     make(chan struct{}),
		stop:     func() {},
	}
}

// Start begins the work of the client. It ends with ctx or with Close.
func (c *Client) Start(ctx context.Context) {
	ctx, c.stop = context.WithCancel(ctx)
	go c.run(ctx)
}

// Close gives all slices back, reports all use and ends the client. It returns
// an error when the context ends before the reports are persistent; the use
// that is not reported by then is lost.
func (c *Client) Close(ctx context.Context) error {
	c.once.Do(func() { close(c.closing) })
	var err error
	select {
	case <-c.settled:
	case <-c.done:
	case <-ctx.Done():
		err = Error.New("use not reported: %v", ctx.Err())
	}
	c.stop()
	<-c.done
	return err
}

// Acquire asks whether one more request of a customer may run. It waits for a
// slice at most maxWait and returns a Permit, or the error Refused, ErrStopped
// or that of the context. After an error the request was not counted.
func (c *Client) Acquire(ctx context.Context, customer model.Customer, service model.Service) (*Permit, error) {
	call := &call{
		account: ledger.Account{Customer: customer, Service: service},
		until:   model.Now().Add(maxWait),
		answer:  make(chan ledger.Decision, 1),
	}
	select {
	case c.calls <- call:
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	case <-c.done:
		return nil, Error.Wrap(ErrStopped)
	}
	select {
	case decision := <-call.answer:
		return c.permit(decision)
	case <-c.done:
		return nil, Error.Wrap(ErrStopped)
	case <-ctx.Done():
		return nil, c.abandon(ctx, call)
	}
}

func (c *Client) permit(decision ledger.Decision) (*Permit, error) {
	if decision.Refused != ledger.ReasonNone {
		return nil, &Refused{Reason: decision.Refused, RetryAfter: decision.RetryAfter}
	}
	return &Permit{client: c, permit: decision.Permit}, nil
}

// abandon ends the wait of a call whose context has ended. A permit that was
// given meanwhile is given back.
func (c *Client) abandon(ctx context.Context, call *call) error {
	select {
	case c.cancels <- call:
	case <-c.done:
		return Error.Wrap(ErrStopped)
	}
	select {
	case decision := <-call.answer:
		if permit, err := c.permit(decision); err == nil {
			permit.Unserved()
		}
	case <-c.done:
	}
	return Error.Wrap(ctx.Err())
}

// Permit stands for one admitted request. Exactly one of Served and Unserved
// is called when the request has ended; later calls have no effect.
type Permit struct {
	client *Client
	permit ledger.Permit
	once   sync.Once
}

// Served counts the request as one unit.
func (p *Permit) Served() { p.end(true) }

// Unserved returns the unit of a request that was not served.
func (p *Permit) Unserved() { p.end(false) }

func (p *Permit) end(served bool) {
	p.once.Do(func() {
		select {
		case p.client.releases <- release{permit: p.permit, served: served}:
		case <-p.client.done:
		}
	})
}
