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
	// exchangeTimeout is how long one keeper may take to answer.
	exchangeTimeout = 400 * time.Millisecond
	maxHops         = 4
	minPause        = 50 * time.Millisecond
	maxPause        = time.Second
)

var metrics = expvar.NewMap("allowance")

func (c *Client) now() ledger.Moment {
	return ledger.Moment{At: model.Now(), Wall: c.config.Wall()}
}

// run is the control goroutine. It owns the holder.
func (c *Client) run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(tick)
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
			c.holder.Release(c.now(), release.permit, release.served)
		case result := <-c.results:
			c.finish(ctx, result)
		case <-ticker.C:
			c.tick(ctx)
		case <-closing:
			closing = nil
			c.holder.Close()
		}
		if closing == nil && c.allSettled() {
			closing = make(chan struct{})
			close(c.settled)
		}
	}
}

func (c *Client) allSettled() bool {
	return len(c.releases) == 0 && c.holder.Settled()
}

func (c *Client) acquire(ctx context.Context, call *call) {
	decision := c.holder.Acquire(c.now(), call.account)
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
	c.answer(call, c.holder.CancelWait(c.now(), call.account))
}

func (c *Client) tick(ctx context.Context) {
	for shard := range ledger.ShardID(ledger.ShardCount) {
		c.retry(shard)
		c.exchange(ctx, shard)
	}
}

// retry decides again about the requests that wait for a shard.
func (c *Client) retry(shard ledger.ShardID) {
	now := c.now()
	still := c.waiting[shard][:0]
	for _, call := range c.waiting[shard] {
		decision := c.holder.Retry(now, call.account)
		if decision.Wait && now.At >= call.until {
			decision = c.holder.CancelWait(now, call.account)
		}
		if decision.Wait {
			still = append(still, call)
			continue
		}
		c.answer(call, decision)
	}
	clear(c.waiting[shard][len(still):])
	c.waiting[shard] = still
}

// exchange starts an exchange with the keeper of a shard when one is due.
func (c *Client) exchange(ctx context.Context, shard ledger.ShardID) {
	line := &c.lines[shard]
	now := c.now()
	if line.calling || now.At < line.next {
		return
	}
	request, due := c.holder.NextRequest(now, shard)
	if !due {
		return
	}
	line.calling = true
	metrics.Add("exchanges", 1)
	addr := line.addr
	go func() { c.results <- c.callKeeper(ctx, addr, request) }()
}

func (c *Client) finish(ctx context.Context, result result) {
	line := &c.lines[result.shard]
	line.calling = false
	if result.err == nil && c.holder.HandleReply(c.now(), result.shard, result.reply) {
		c.noteKeeper(line, result)
	} else {
		c.noteFailure(line, result)
	}
	c.retry(result.shard)
	c.exchange(ctx, result.shard)
}

func (c *Client) noteKeeper(line *line, result result) {
	if line.addr != result.addr {
		c.log(result).WithField("fence", result.reply.Fence).Info("event=keeper_found")
	}
	line.addr = result.addr
	line.pause = 0
}

func (c *Client) noteFailure(line *line, result result) {
	now := c.now()
	if line.pause == 0 {
		c.log(result).Warn("event=keeper_lost")
	}
	metrics.Add("exchanges_failed", 1)
	c.holder.HandleFailure(now, result.shard)
	line.addr = netip.AddrPort{}
	line.pause = min(max(2*line.pause, minPause), maxPause)
	line.next = now.At.Add(line.pause)
}

func (c *Client) log(result result) *logrus.Entry {
	entry := c.config.Log.WithFields(logrus.Fields{"shard": result.shard, "address": result.addr})
	if result.err != nil {
		entry = entry.WithError(result.err)
	}
	return entry
}

// callKeeper brings a request to the keeper of its shard. It follows redirects
// and tries the candidates in rank order, maxHops calls in all.
func (c *Client) callKeeper(ctx context.Context, addr netip.AddrPort, request ledger.Request) result {
	result := result{shard: request.Shard, addr: addr, err: Error.New("no balancer is known")}
	candidates := c.candidates(request.Shard, addr)
	for range maxHops {
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
		result.err = Error.New("%s does not keep shard %d", result.addr, request.Shard)
		candidates = redirected(candidates, result.reply.Redirect)
	}
	return result
}

func (c *Client) call(ctx context.Context, addr netip.AddrPort, request ledger.Request) (ledger.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return rpc.Call[ledger.Request, ledger.Reply](ctx, c.config.RPC, addr, rpc.MethodSlice, request)
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

// redirected puts the address of a redirect first.
func redirected(candidates []netip.AddrPort, redirect string) []netip.AddrPort {
	addr, err := netip.ParseAddrPort(redirect)
	if err != nil {
		return candidates
	}
	candidates = slices.DeleteFunc(candidates, func(other netip.AddrPort) bool { return other == addr })
	return slices.Insert(candidates, 0, addr)
}
