package cluster

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

const (
	// agentExtraLimit is added to the freshness limit of an agent, whose
	// evidence takes one hop more than a balancer's: it arrives with the
	// replies to heartbeats.
	agentExtraLimit = membership.HeartbeatInterval
	// majorityPollInterval is the interval between two polls of a majority.
	majorityPollInterval = 500 * time.Millisecond
)

// verifyWithPredecessors pings the parent in the tree along which freshness is
// passed on, see membership.Assignment, and, if this node's verification time is
// older than expected, a random balancer ranked before this one.
func (n *Node) verifyWithPredecessors(now model.Instant) {
	position := int(n.position.Load())
	if position < 0 || now < n.due.verify {
		return
	}
	n.due.verify = now.Add(membership.VerifyInterval)
	age, verified := n.freshness.Age(now)
	parent, found := n.assignment.Parent(position)
	if found {
		n.ping(parent.Control)
	}
	if verified && age < n.assignment.ExpectedAge(position) {
		return
	}
	if predecessor, found := n.assignment.Predecessor(position, rand.Uint64()); found && predecessor.Node != parent.Node {
		n.ping(predecessor.Control)
	}
}

func (n *Node) ping(addr netip.AddrPort) {
	sent := model.Now()
	request := n.pingRequest(sent)
	n.launch(probeTimeout, func(ctx context.Context) {
		reply, err := rpc.Call[PingRequest, PingReply](ctx, n.config.Client, addr, rpc.MethodPing, request)
		if err == nil {
			n.post(func() { n.applyPingReply(addr, reply, sent) })
		}
	})
}

func (n *Node) pingRequest(now model.Instant) PingRequest {
	request := PingRequest{Revisions: n.freshness.DocumentStatus().Revisions}
	if now.Sub(n.lastDocumentAt) < advertiseDocumentFor {
		request.From = n.table.Self().Control
	}
	return request
}

// advertiseDocumentFor is how long after accepting a new document the node
// includes its address in pings, so that peers can fetch the document.
const advertiseDocumentFor = 10 * time.Second

// observeRevisions records revisions that a peer reported.
func (n *Node) observeRevisions(revisions model.Revisions) {
	n.freshness.ObserveRevisions(revisions)
	n.publishFreshness()
}

// applyPingReply records the freshness and the revisions that a peer reported.
func (n *Node) applyPingReply(addr netip.AddrPort, reply PingReply, sent model.Instant) {
	n.detector.RecordContact(model.Now())
	if age, verified := reply.age(); verified {
		n.freshness.RecordAnswer(sent, age, reply.documentStatus())
	} else {
		n.freshness.ObserveRevisions(reply.Revisions)
	}
	n.publishFreshness()
	n.pullNewer(addr, reply.Revisions)
}

// publishFreshness stores in freshUntil how long the node is fresh, for other
// goroutines.
func (n *Node) publishFreshness() {
	limit := membership.FreshnessLimit
	if !n.isBalancer() {
		limit += agentExtraLimit
	}
	until, fresh := n.freshness.FreshUntil(limit)
	if !fresh {
		n.freshUntil.Store(neverFresh)
		return
	}
	n.freshUntil.Store(int64(until))
}

// pollMajority polls a majority of the nodes while the platform does not verify
// freshness.
func (n *Node) pollMajority(now model.Instant) {
	position := int(n.position.Load())
	if position < 0 || position >= membership.MajorityPollerCount || n.active.majorityPoll || now < n.due.majorityPoll {
		return
	}
	if age, verified := n.freshness.Age(now); verified && age < membership.MajorityPollAfter {
		return
	}
	// A node that has not joined yet may know only a few of the voters.
	if !n.joined.Load() && len(n.candidates) > 0 {
		return
	}
	n.due.majorityPoll = now.Add(majorityPollInterval)
	n.active.majorityPoll = true
	voters := n.table.Voters(now)
	request := n.pingRequest(now)
	n.launch(probeTimeout, func(ctx context.Context) {
		votes := n.pollVoters(ctx, voters, request)
		n.post(func() { n.majorityPolled(len(voters), votes, now) })
	})
}

type vote struct {
	addr  netip.AddrPort
	reply PingReply
}

// pollVoters pings all voters except this node. It returns the replies as soon as
// they are a majority together with this node's vote, or after all have ended.
func (n *Node) pollVoters(ctx context.Context, voters []membership.Record, request PingRequest) []vote {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *vote, len(voters))
	for _, voter := range voters {
		if voter.Node == n.self {
			answers <- nil
			continue
		}
		go func() { answers <- n.askVoter(ctx, voter.Control, request) }()
	}
	var votes []vote
	for range voters {
		answer := <-answers
		if answer == nil {
			continue
		}
		votes = append(votes, *answer)
		if majority(len(votes), len(voters)) {
			return votes
		}
	}
	return votes
}

// askVoter pings a voter and returns its reply, or nil if the call failed.
func (n *Node) askVoter(ctx context.Context, addr netip.AddrPort, request PingRequest) *vote {
	reply, err := rpc.Call[PingRequest, PingReply](ctx, n.config.Client, addr, rpc.MethodPing, request)
	if err != nil {
		return nil
	}
	return &vote{addr, reply}
}

// majority reports whether the votes of other nodes and this node's vote are
// more than half of the voters.
func majority(votes, voters int) bool { return 2*(votes+1) > voters }

func (n *Node) majorityPolled(voters int, votes []vote, sent model.Instant) {
	n.active.majorityPoll = false
	var known model.Revisions
	for _, vote := range votes {
		known = known.Merge(vote.reply.Revisions)
		n.applyPingReply(vote.addr, vote.reply, sent)
	}
	if !majority(len(votes), voters) {
		n.log.WithFields(map[string]any{"voters": voters, "votes": len(votes)}).Debug("event=no_majority")
		return
	}
	n.freshness.RecordAnswer(sent, 0, membership.DocumentStatus{Revisions: known})
	n.publishFreshness()
}

// servePing handles rpc.MethodPing.
func (n *Node) servePing(ctx context.Context, _ rpc.Peer, request PingRequest) (reply PingReply, err error) {
	err = n.postAndWait(ctx, func() {
		now := model.Now()
		n.detector.RecordContact(now)
		n.observeRevisions(request.Revisions)
		n.pullNewer(request.From, request.Revisions)
		reply = n.pingReply(now)
		reply.Alive = request.Suspect == n.self || n.detector.HeardRecently(request.Suspect, now)
	})
	return reply, err
}

func (n *Node) pingReply(now model.Instant) PingReply {
	known := n.freshness.DocumentStatus()
	reply := PingReply{AgeMillis: unverified, Confirmed: known.Confirmed, Revisions: known.Revisions}
	if age, verified := n.freshness.Age(now); verified && age < time.Hour {
		reply.AgeMillis = int32((age + time.Millisecond - 1) / time.Millisecond)
	}
	return reply
}
