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
	// agentExtraAge is how much older an agent's proof may be than a
	// balancer's: it travels one step further, with the heartbeats.
	agentExtraAge = membership.HeartbeatInterval
	// collectInterval is the time between two questions to a majority.
	collectInterval = 500 * time.Millisecond
)

// askForProof asks the balancer that stands before this one how fresh it is.
func (n *Node) askForProof(now model.Instant) {
	position := int(n.position.Load())
	if position < 0 || now < n.due.proof {
		return
	}
	n.due.proof = now.Add(membership.VerifyInterval)
	age, proven := n.proof.Age(now)
	parent, found := n.assignment.Parent(position)
	if found {
		n.ping(parent.Control)
	}
	if proven && age < n.assignment.ExpectedAge(position) {
		return
	}
	if earlier, found := n.assignment.Predecessor(position, rand.Uint64()); found && earlier.Node != parent.Node {
		n.ping(earlier.Control)
	}
}

func (n *Node) ping(addr netip.AddrPort) {
	sent := model.Now()
	request := n.pingRequest(sent)
	n.launch(askTimeout, func(ctx context.Context) {
		reply, err := rpc.Call[PingRequest, PingReply](ctx, n.config.Client, addr, rpc.MethodPing, request)
		if err == nil {
			n.post(func() { n.proofEnded(addr, reply, sent) })
		}
	})
}

func (n *Node) pingRequest(now model.Instant) PingRequest {
	request := PingRequest{Revisions: n.proof.DocumentStatus().Revisions}
	if now.Sub(n.documentAt) < tellDocumentFor {
		request.From = n.table.Self().Control
	}
	return request
}

// tellDocumentFor is how long after a new document the node tells with its
// questions where it can be fetched.
const tellDocumentFor = 10 * time.Second

// learn notes revisions that a peer spoke of.
func (n *Node) learn(revisions model.Revisions) {
	n.proof.ObserveRevisions(revisions)
	n.publishFresh()
}

// proofEnded takes what a peer said about its freshness and its documents.
func (n *Node) proofEnded(addr netip.AddrPort, reply PingReply, sent model.Instant) {
	n.watch.RecordContact(model.Now())
	if age, proven := reply.age(); proven {
		n.proof.RecordAnswer(sent, age, reply.knowledge())
	} else {
		n.proof.ObserveRevisions(reply.Revisions)
	}
	n.publishFresh()
	n.pullNewer(addr, reply.Revisions)
}

// publishFresh makes the state of the proof known to other goroutines.
func (n *Node) publishFresh() {
	limit := membership.FreshnessLimit
	if !n.balancer() {
		limit += agentExtraAge
	}
	until, fresh := n.proof.FreshUntil(limit)
	if !fresh {
		n.freshUntil.Store(neverFresh)
		return
	}
	n.freshUntil.Store(int64(until))
}

// collect asks a majority of the nodes while the platform gives no proof.
func (n *Node) collect(now model.Instant) {
	position := int(n.position.Load())
	if position < 0 || position >= membership.MajorityPollerCount || n.busy.collect || now < n.due.collect {
		return
	}
	if age, proven := n.proof.Age(now); proven && age < membership.MajorityPollAfter {
		return
	}
	if !n.joined.Load() && len(n.candidates) > 0 {
		return
	}
	n.due.collect = now.Add(collectInterval)
	n.busy.collect = true
	voters := n.table.Voters(now)
	request := n.pingRequest(now)
	n.launch(askTimeout, func(ctx context.Context) {
		votes := n.poll(ctx, voters, request)
		n.post(func() { n.collected(len(voters), votes, now) })
	})
}

type vote struct {
	addr  netip.AddrPort
	reply PingReply
}

// poll asks all voters and returns as soon as a majority has answered.
func (n *Node) poll(ctx context.Context, voters []membership.Record, request PingRequest) []vote {
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

func (n *Node) askVoter(ctx context.Context, addr netip.AddrPort, request PingRequest) *vote {
	reply, err := rpc.Call[PingRequest, PingReply](ctx, n.config.Client, addr, rpc.MethodPing, request)
	if err != nil {
		return nil
	}
	return &vote{addr, reply}
}

// majority reports whether votes of others and the own one are more than half.
func majority(votes, voters int) bool { return 2*(votes+1) > voters }

func (n *Node) collected(voters int, votes []vote, sent model.Instant) {
	n.busy.collect = false
	var known model.Revisions
	for _, vote := range votes {
		known = known.Merge(vote.reply.Revisions)
		n.proofEnded(vote.addr, vote.reply, sent)
	}
	if !majority(len(votes), voters) {
		n.log.WithFields(map[string]any{"voters": voters, "votes": len(votes)}).Debug("event=no_majority")
		return
	}
	n.proof.RecordAnswer(sent, 0, membership.DocumentStatus{Revisions: known})
	n.publishFresh()
}

// servePing answers how fresh this node is.
func (n *Node) servePing(ctx context.Context, _ rpc.Peer, request PingRequest) (reply PingReply, err error) {
	err = n.ask(ctx, func() {
		now := model.Now()
		n.watch.RecordContact(now)
		n.learn(request.Revisions)
		n.pullNewer(request.From, request.Revisions)
		reply = n.pingReply(now)
		reply.Alive = request.Suspect == n.self || n.watch.HeardRecently(request.Suspect, now)
	})
	return reply, err
}

func (n *Node) pingReply(now model.Instant) PingReply {
	known := n.proof.DocumentStatus()
	reply := PingReply{AgeMillis: noProof, Confirmed: known.Confirmed, Revisions: known.Revisions}
	if age, proven := n.proof.Age(now); proven && age < time.Hour {
		reply.AgeMillis = int32((age + time.Millisecond - 1) / time.Millisecond)
	}
	return reply
}
