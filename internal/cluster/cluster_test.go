package cluster

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
)

// startFleet starts balancers lb-0, lb-1, ... and agents agent-0, agent-1, ... of
// one service. The control address of lb-0 is a seed of all others.
func startFleet(t *testing.T, s secrets, balancers, agents int, config memberConfig) (all []*member, names []model.NodeID) {
	for i := range balancers + agents {
		one := config
		one.name = model.NodeID(fmt.Sprintf("lb-%d", i))
		if i >= balancers {
			one.name = model.NodeID(fmt.Sprintf("agent-%d", i-balancers))
			one.service = "memberdesk"
		}
		if i > 0 {
			one.seeds = append([]netip.AddrPort{all[0].addr()}, config.seeds...)
		}
		all = append(all, s.start(t, one))
		names = append(names, one.name)
	}
	return all, names
}

// Nodes that know one seed must find all others: balancers see every node, agents
// the balancers and the agents of their own service. A draining agent must be seen
// as such, and one that has left must be removed from the views.
func TestNodesDiscoverEachOtherAndDropLeavers(t *testing.T) {
	s := newSecrets(t)
	all, names := startFleet(t, s, 4, 3, memberConfig{})
	other := s.start(t, memberConfig{name: "proof-0", service: "proofroom", seeds: []netip.AddrPort{all[1].addr()}})
	waitFor(t, 5*time.Second, "balancers see all nodes", func() bool {
		return sees(all[:4], append([]model.NodeID{"proof-0"}, names...)...)
	})
	waitFor(t, 5*time.Second, "agents see their service", func() bool { return sees(all[4:], names...) })
	waitFor(t, 5*time.Second, "the agent of the other service sees all balancers", func() bool {
		return sees([]*member{other}, "lb-0", "lb-1", "lb-2", "lb-3", "proof-0")
	})

	all[6].SetState(membership.StateDraining)
	took := waitFor(t, 3*time.Second, "all see the draining agent", func() bool {
		for _, m := range all {
			if record, _ := m.View().Find("agent-2"); record.State != membership.StateDraining {
				return false
			}
		}
		return true
	})
	t.Logf("draining seen by all after %s", took)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	require.NoError(t, all[6].Leave(ctx))
	all[6].kill()
	waitFor(t, 3*time.Second, "the departed agent is removed from the views", func() bool {
		return sees(all[4:6], names[:6]...) && sees(all[:4], append([]model.NodeID{"proof-0"}, names[:6]...)...)
	})
}

// A balancer and an agent that crash at the same time must be removed from all
// views, although the balancer may be a watcher of the agent. The limit of the wait
// is 3.5 s.
func TestDeadNodesAreDetectedInThreeSeconds(t *testing.T) {
	s := newSecrets(t)
	all, names := startFleet(t, s, 4, 2, memberConfig{})
	waitFor(t, 5*time.Second, "all see all", func() bool { return sees(all, names...) })
	all[5].kill()
	all[3].kill()
	rest := append([]*member{}, all[:3]...)
	rest = append(rest, all[4])
	took := waitFor(t, 3500*time.Millisecond, "two simultaneous crashes are detected", func() bool {
		return sees(rest, "lb-0", "lb-1", "lb-2", "agent-0")
	})
	t.Logf("crashes detected by all after %s", took)
}

// TestDocumentsReachAllNodes submits documents to a balancer and to an agent. An
// older revision must change nothing, and a document that Check refuses or that is
// larger than platform.MaxValueSize must be refused.
func TestDocumentsReachAllNodes(t *testing.T) {
	s := newSecrets(t)
	all, names := startFleet(t, s, 3, 2, memberConfig{check: func(d Document) error {
		if string(d.Body) == "bad" {
			return Error.New("body: bad")
		}
		return nil
	}})
	waitFor(t, 5*time.Second, "all see all", func() bool { return sees(all, names...) })
	ctx := context.Background()
	require.NoError(t, all[0].SubmitDocument(ctx, Document{Kind: model.DocumentOutOfService, Revision: 3, Body: []byte("three")}))
	holds := func(revision model.Revision) func() bool {
		return func() bool {
			for _, m := range all {
				if m.Revisions()[model.DocumentOutOfService] != revision || !m.Fresh(model.Now()) {
					return false
				}
			}
			return true
		}
	}
	t.Logf("in force everywhere after %s", waitFor(t, 3*time.Second, "revision 3 everywhere", holds(3)))
	require.NoError(t, all[0].SubmitDocument(ctx, Document{Kind: model.DocumentOutOfService, Revision: 2, Body: []byte("two")}))
	require.Error(t, all[0].SubmitDocument(ctx, Document{Kind: model.DocumentOutOfService, Revision: 4, Body: []byte("bad")}))
	require.Error(t, all[0].SubmitDocument(ctx, Document{Kind: model.DocumentOutOfService, Revision: 4, Body: make([]byte, 1<<20+1)}))
	require.True(t, holds(3)())
	require.NoError(t, all[4].SubmitDocument(ctx, Document{Kind: model.DocumentOutOfService, Revision: 5, Body: []byte("five")}))
	t.Logf("in force everywhere from an agent after %s", waitFor(t, 3*time.Second, "revision 5 everywhere", holds(5)))
}
