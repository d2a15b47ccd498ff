package allowance

import (
	"context"
	"expvar"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/ledger"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

const (
	// exchangeTimeout is the time limit of one call to a balancer.
	exchangeTimeout = 400 * time.Millisecond
	maxAttempts     = 4
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = time.Second
)

var metrics = expvar.NewMap("allowance")

func (c *Client) now() ledger.Moment {
	return ledger.Moment{At: model.Now(), Wall: c.config.Wall()}
}

// run is the control goroutine. The quota state is confined to it.
func (c *Client) run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	closing := c.closing
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-c.calls:
			c.acquire(ctx, call)
		case call := <-c.cancels:
			c.cancel(call)
		case release := <-c.releases:
			c.quota.Release(c.now(), release.permit, release.served)
		case result := <-c.results:
			c.exchangeDone(ctx, result)
		case <-ticker.C:
			c.tick(ctx)
		case <-closing:
			closing = nil
			c.quota.Close()
		}
		if closing == nil && c.allSettled() {
			closing = make(chan struct{})
			close(c.settled)
		}
	}
}

func (c *Client) allSettled() bool {
	return len(c.releases) == 0 && c.quota.Settled()
}

func (c *Client) acquire(ctx context.Context, call *call) {
	decision := c.quota.Acquire(c.now(), call.account)
	if !decision.Wait {
		c.answer(call, decision)
		return
	}
	shard := ledger.ShardOf(call.account.Customer)
	c.waiting[shard] = append(c.waiting[shard], call)
	c.exchange(ctx, shard)
}

func (c *Client) answer(call *call, decision ledger.Decision) {
	if decision.Refused == ledger.ReasonNone {
		metrics.Add("admitted", 1)
	} else {
		metrics.Add("refused_"+decision.Refused.String(), 1)
	}
	call.answer <- decision
}

func (c *Client) cancel(call *call) {
	shard := ledger.ShardOf(call.account.Customer)
	i := slices.Index(c.waiting[shard], call)
	if i < 0 {
		return
	}
	c.waiting[shard] = slices.Delete(c.waiting[shard], i, i+1)
	c.answer(call, c.quota.CancelWait(c.now(), call.account))
}

func (c *Client) tick(ctx context.Context) {
	for shard := range ledger.ShardID(ledger.ShardCount) {
		c.retryWaiting(shard)
		c.exchange(ctx, shard)
	}
}

// retryWaiting decides again about the requests that wait for a shard.
func (c *Client) retryWaiting(shard ledger.ShardID) {
	now := c.now()
	remaining := c.waiting[shard][:0]
	for _, call := range c.waiting[shard] {
		decision := c.quota.Retry(now, call.account)
		if decision.Wait && now.At >= call.deadline {
			decision = c.quota.CancelWait(now, call.account)
		}
		if decision.Wait {
			remaining = append(remaining, call)
			continue
		}
		c.answer(call, decision)
	}
	clear(c.waiting[shard][len(remaining):])
	c.waiting[shard] = remaining
}

// exchange starts an exchange with the owner of a shard if one is due.
func (c *Client) exchange(ctx context.Context, shard ledger.ShardID) {
	conn := &c.connections[shard]
	now := c.now()
	if conn.calling || now.At < conn.nextCall {
		return
	}
	request, due := c.quota.NextRequest(now, shard)
	if !due {
		return
	}
	conn.calling = true
	metrics.Add("exchanges", 1)
	addr := conn.addr
	go func() { c.results <- c.callOwner(ctx, addr, request) }()
}

func (c *Client) exchangeDone(ctx context.Context, result result) {
	conn := &c.connections[result.shard]
	conn.calling = false
	if result.err == nil && c.quota.HandleReply(c.now(), result.shard, result.reply) {
		c.recordOwner(conn, result)
	} else {
		c.recordFailure(conn, result)
	}
	c.retryWaiting(result.shard)
	c.exchange(ctx, result.shard)
}

func (c *Client) recordOwner(conn *ownerConnection, result result) {
	if conn.addr != result.addr {
		c.log(result).WithField("fence", result.reply.Fence).Info("event=keeper_found")
	}
	conn.addr = result.addr
	conn.backoff = 0
}

func (c *Client) recordFailure(conn *ownerConnection, result result) {
	now := c.now()
	if conn.backoff == 0 {
		c.log(result).Warn("event=keeper_lost")
	}
	metrics.Add("exchanges_failed", 1)
	c.quota.HandleFailure(now, result.shard)
	conn.addr = netip.AddrPort{}
	conn.backoff = min(max(2*conn.backoff, minBackoff), maxBackoff)
	conn.nextCall = now.At.Add(conn.backoff)
}

func (c *Client) log(result result) *logrus.Entry {
	entry := c.config.Log.WithFields(logrus.Fields{"shard": result.shard, "address": result.addr})
	if result.err != nil {
		entry = entry.WithError(result.err)
	}
	return entry
}

// callOwner sends a request to the owner of its shard. It tries addr, the last
// known owner, if there is one, and then the candidates in rank order, following
// redirects, with at most maxAttempts calls in all.
func (c *Client) callOwner(ctx context.Context, addr netip.AddrPort, request ledger.Request) result {
	result := result{shard: request.Shard, addr: addr, err: Error.New("no balancer is known")}
	candidates := c.candidates(request.Shard, addr)
	for range maxAttempts {
		if len(candidates) == 0 {
			return result
		}
		result.addr, candidates = candidates[0], candidates[1:]
		result.reply, result.err = c.call(ctx, result.addr, request)
		if result.err != nil {
			continue
		}
		if result.reply.IsOwner && result.reply.Fence >= request.Fence {
			return result
		}
		result.err = Error.New("%s does not own shard %d", result.addr, request.Shard)
		candidates = preferRedirect(candidates, result.reply.Redirect)
	}
	return result
}

func (c *Client) call(ctx context.Context, addr netip.AddrPort, request ledger.Request) (ledger.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return rpc.Call[ledger.Request, ledger.Reply](ctx, c.config.RPC, addr, rpc.MethodAllowanceSlice, request)
}

func (c *Client) candidates(shard ledger.ShardID, cached netip.AddrPort) []netip.AddrPort {
	var addrs []netip.AddrPort
	if cached.IsValid() {
		addrs = append(addrs, cached)
	}
	for _, record := range ledger.Rank(shard, c.config.Balancers.Balancers()) {
		if record.Control != cached {
			addrs = append(addrs, record.Control)
		}
	}
	return addrs
}

// preferRedirect moves the address of a redirect to the front of the
// candidates.
func preferRedirect(candidates []netip.AddrPort, redirect string) []netip.AddrPort {
	addr, err := netip.ParseAddrPort(redirect)
	if err != nil {
		return candidates
	}
	candidates = slices.DeleteFunc(candidates, func(other netip.AddrPort) bool { return other == addr })
	return slices.Insert(candidates, 0, addr)
}
