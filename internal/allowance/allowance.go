// Package allowance enforces the customers' allowances at an agent. Customers are
// divided into shards, and each shard is owned by one balancer, its shard owner.
// The package obtains slices, which are parts of an allowance, from the shard
// owners, admits requests from these slices, and reports usage to the owners.
// Package ledger makes the decisions; this package makes the calls.
//
// The log events keeper_found and keeper_lost are about shard owners: operators
// search for these names.
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

// Error is the class of all errors of this package.
var Error = errs.Class("allowance")

// The errors of Acquire. Test for them with errors.Is.
var (
	// ErrNoOwner matches a RefusedError with the reason that no shard owner
	// answers and no slice is available.
	ErrNoOwner = errs.New("no shard owner answers")
	// ErrStopped is returned after the client was closed.
	ErrStopped = errs.New("client is stopped")
)

// RefusedError is the error for a request that may not run now. The request was not
// counted.
type RefusedError struct {
	Reason ledger.Reason
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
}

// Error implements error.
func (r *RefusedError) Error() string {
	return fmt.Sprintf("allowance: refused for %s, retry after %s", r.Reason, r.RetryAfter)
}

// Is makes errors.Is match ErrNoOwner.
func (r *RefusedError) Is(target error) bool {
	return target == ErrNoOwner && r.Reason == ledger.ReasonNoOwner
}

// Balancers lists the known balancers.
type Balancers interface {
	Balancers() []membership.Record
}

// Config holds the dependencies of a Client.
type Config struct {
	RPC       *rpc.Client
	Balancers Balancers
	Node      model.NodeID
	// Incarnation must increase with each start of the node. 0 selects the
	// wall-clock time in Unix nanoseconds.
	Incarnation uint64
	// Allowances is the agent's own copy of the plans. It may be nil. If it is
	// set, a lowered plan takes effect even while no shard owner is reachable.
	Allowances ledger.Allowances
	Log        *logrus.Entry
	// Wall returns the wall-clock time, which determines the month. The default
	// is time.Now.
	Wall func() time.Time
}

const (
	// queueCapacity is the number of calls, and of releases, that are buffered for
	// the control goroutine.
	queueCapacity = 1024
	// maxWait is the longest time that a request waits for a slice.
	maxWait = 500 * time.Millisecond
	// tickInterval is the interval at which waiting requests are decided again and
	// due exchanges are started.
	tickInterval = 25 * time.Millisecond
)

// Client admits requests according to the customers' allowances. All methods
// are safe for concurrent use.
type Client struct {
	config Config
	// quota makes the decisions. It is confined to the control goroutine after New.
	quota *ledger.AgentQuota

	calls    chan *acquireCall
	cancels  chan *acquireCall
	releases chan release
	// results has room for one result of each shard, so that no exchange blocks
	// when the control goroutine has ended.
	results chan result
	// closing is closed by Close.
	closing chan struct{}
	// settled is closed when all slices are returned and all usage is reported.
	settled chan struct{}
	// done is closed when the control goroutine has ended.
	done      chan struct{}
	closeOnce sync.Once
	// stop cancels the context of the control goroutine.
	stop context.CancelFunc

	// The fields below are confined to the control goroutine.
	// waiting holds the calls that wait for a slice.
	waiting [ledger.ShardCount][]*acquireCall
	owners  [ledger.ShardCount]ownerState
}

// ownerState is the state of the exchanges with the owner of one shard. An exchange
// sends one request, which may ask for slices and report usage, and gets its reply.
type ownerState struct {
	// addr is the owner's address; it is invalid while the owner is not known.
	addr netip.AddrPort
	// exchanging is true while an exchange is in progress.
	exchanging bool
	// nextExchange is the earliest time of the next exchange.
	nextExchange model.Instant
	// backoff is the pause after the last exchange, 0 if that succeeded.
	backoff time.Duration
}

// acquireCall is one call of Acquire. It gets exactly one answer.
type acquireCall struct {
	account  ledger.Account
	deadline model.Instant
	answer   chan ledger.Decision
}

// release is the end of an admitted request.
type release struct {
	permit ledger.Permit
	served bool
}

// result is the outcome of one exchange.
type result struct {
	shard ledger.ShardID
	addr  netip.AddrPort
	reply ledger.Reply
	err   error
}

// New returns a client. Call Start to run it.
func New(config Config) *Client {
	if config.Wall == nil {
		config.Wall = time.Now
	}
	if config.Incarnation == 0 {
		config.Incarnation = uint64(time.Now().UnixNano())
	}
	return &Client{
		config:   config,
		quota:    ledger.NewAgentQuota(config.Node, config.Incarnation, config.Allowances),
		calls:    make(chan *acquireCall, queueCapacity),
		cancels:  make(chan *acquireCall),
		releases: make(chan release, queueCapacity),
		results:  make(chan result, ledger.ShardCount),
		closing:  make(chan struct{}),
		settled:  make(chan struct{}),
		done:     make(chan struct{}),
		stop:     func() {},
	}
}

// Start starts the control goroutine, which runs until ctx ends or Close
// stops it.
func (c *Client) Start(ctx context.Context) {
	ctx, c.stop = context.WithCancel(ctx)
	go c.run(ctx)
}

// Close returns all slices, reports all usage and stops the client, which must
// have been started. It returns an error if ctx ends before the reports are
// persistent; usage not reported by then is lost.
func (c *Client) Close(ctx context.Context) error {
	c.closeOnce.Do(func() { close(c.closing) })
	var err error
	select {
	case <-c.settled:
	case <-c.done:
	case <-ctx.Done():
		err = Error.New("usage not reported: %v", ctx.Err())
	}
	c.stop()
	<-c.done
	return err
}

// Acquire asks to admit one more request of a customer. It waits for a slice
// for at most maxWait and returns a Permit, or else a *RefusedError, ErrStopped or
// the error of ctx. After an error the request was not counted.
func (c *Client) Acquire(ctx context.Context, customer model.Customer, service model.Service) (*Permit, error) {
	call := &acquireCall{
		account:  ledger.Account{Customer: customer, Service: service},
		deadline: model.Now().Add(maxWait),
		answer:   make(chan ledger.Decision, 1),
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
		return nil, c.cancelAcquire(ctx, call)
	}
}

func (c *Client) permit(decision ledger.Decision) (*Permit, error) {
	if decision.Refused != ledger.ReasonNone {
		return nil, &RefusedError{Reason: decision.Refused, RetryAfter: decision.RetryAfter}
	}
	return &Permit{client: c, permit: decision.Permit}, nil
}

// cancelAcquire removes a call whose context has ended. A permit issued in the
// meantime is returned.
func (c *Client) cancelAcquire(ctx context.Context, call *acquireCall) error {
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

// Permit represents one admitted request. The caller must call either Served or
// Unserved when the request has ended; later calls have no effect.
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
