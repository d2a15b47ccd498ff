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
	// callTimeout is the time limit of one call to a balancer.
	callTimeout = 400 * time.Millisecond
	// maxAttempts limits the calls of one exchange.
	maxAttempts = 4
	// minBackoff and maxBackoff bound the pause after a failed exchange. It is
	// doubled with each further failure.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
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
	// closing is nil from the start of closing until everything is settled. Then it
	// is a channel that never becomes ready, so that settled is closed only once.
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

func (c *Client) acquire(ctx context.Context, call *acquireCall) {
	decision := c.quota.Acquire(c.now(), call.account)
	if !decision.Wait {
		c.answer(call, decision)
		return
	}
	shard := ledger.ShardOf(call.account.Customer)
	c.waiting[shard] = append(c.waiting[shard], call)
	c.exchange(ctx, shard)
}

func (c *Client) answer(call *acquireCall, decision ledger.Decision) {
	if decision.Refused == ledger.ReasonNone {
		metrics.Add("admitted", 1)
	} else {
		metrics.Add("refused_"+decision.Refused.String(), 1)
	}
	call.answer <- decision
}

func (c *Client) cancel(call *acquireCall) {
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

// exchange starts an exchange with the owner of a shard if one is due and none is
// in progress.
func (c *Client) exchange(ctx context.Context, shard ledger.ShardID) {
	owner := &c.owners[shard]
	now := c.now()
	if owner.exchanging || now.At < owner.nextExchange {
		return
	}
	request, due := c.quota.NextRequest(now, shard)
	if !due {
		return
	}
	owner.exchanging = true
	metrics.Add("exchanges", 1)
	addr := owner.addr
	go func() { c.results <- c.callOwner(ctx, addr, request) }()
}

func (c *Client) exchangeDone(ctx context.Context, result result) {
	owner := &c.owners[result.shard]
	owner.exchanging = false
	if result.err == nil && c.quota.HandleReply(c.now(), result.shard, result.reply) {
		c.recordOwner(owner, result)
	} else {
		c.recordFailure(owner, result)
	}
	c.retryWaiting(result.shard)
	c.exchange(ctx, result.shard)
}

func (c *Client) recordOwner(owner *ownerState, result result) {
	if owner.addr != result.addr {
		c.log(result).WithField("fence", result.reply.Fence).Info("event=keeper_found")
	}
	owner.addr = result.addr
	owner.backoff = 0
}

func (c *Client) recordFailure(owner *ownerState, result result) {
	now := c.now()
	if owner.backoff == 0 {
		c.log(result).Warn("event=keeper_lost")
	}
	metrics.Add("exchanges_failed", 1)
	c.quota.HandleFailure(now, result.shard)
	owner.addr = netip.AddrPort{}
	owner.backoff = min(max(2*owner.backoff, minBackoff), maxBackoff)
	owner.nextExchange = now.At.Add(owner.backoff)
}

func (c *Client) log(result result) *logrus.Entry {
	entry := c.config.Log.WithFields(logrus.Fields{"shard": result.shard, "address": result.addr})
	if result.err != nil {
		entry = entry.WithError(result.err)
	}
	return entry
}

// callOwner sends a request to the owner of its shard. It tries lastOwner, the
// address of the last known owner, if there is one, and then the other balancers in
// rank order, following redirects, with at most maxAttempts calls in all. A reply
// with a lower fence, the owner's fencing token, than the request has is that of a
// former owner and is not accepted.
func (c *Client) callOwner(ctx context.Context, lastOwner netip.AddrPort, request ledger.Request) result {
	result := result{shard: request.Shard, addr: lastOwner, err: Error.New("no balancer is known")}
	candidates := c.candidates(request.Shard, lastOwner)
	for range maxAttempts {
		if len(candidates) == 0 {
			return result
		}
		result.addr, candidates = candidates[0], candidates[1:]
		result.reply, result.err = c.callBalancer(ctx, result.addr, request)
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

func (c *Client) callBalancer(ctx context.Context, addr netip.AddrPort, request ledger.Request) (ledger.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return rpc.Call[ledger.Request, ledger.Reply](ctx, c.config.RPC, addr, rpc.MethodAllowanceSlice, request)
}

// candidates returns the addresses to try for a shard: lastOwner if it is valid, and
// then the other balancers in rank order.
func (c *Client) candidates(shard ledger.ShardID, lastOwner netip.AddrPort) []netip.AddrPort {
	var addrs []netip.AddrPort
	if lastOwner.IsValid() {
		addrs = append(addrs, lastOwner)
	}
	for _, record := range ledger.Rank(shard, c.config.Balancers.Balancers()) {
		if record.Control != lastOwner {
			addrs = append(addrs, record.Control)
		}
	}
	return addrs
}

// preferRedirect puts the address of a redirect first among the candidates, even if
// it was not one of them. A malformed or empty address is ignored.
func preferRedirect(candidates []netip.AddrPort, redirect string) []netip.AddrPort {
	addr, err := netip.ParseAddrPort(redirect)
	if err != nil {
		return candidates
	}
	candidates = slices.DeleteFunc(candidates, func(other netip.AddrPort) bool { return other == addr })
	return slices.Insert(candidates, 0, addr)
}
