package soak

import (
	"errors"
	"math/rand/v2"
	"net"
	"os/exec"
	"syscall"
	"time"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/standin/site"
	"github.com/balsamlink/balsamlink/platform/wire"
)

// cause lets a fault happen, and ends it.
func (r *run) cause(fault Fault) {
	switch fault.Kind {
	case KindKill, KindTerm, KindFreeze, KindKillAll:
		r.disturbProcess(fault)
	case KindCrash, KindClock, KindDrain:
		r.disturbTarget(fault)
	case KindStore, KindLapse, KindDeaf:
		r.disturbStore(fault)
	case KindLink, KindLoss:
		r.disturbNetwork(fault)
	case KindEvacuate, KindConfigure, KindAdd:
		r.operate(fault)
	}
}

func (r *run) disturbProcess(fault Fault) {
	node := r.nodes[fault.On%len(r.nodes)]
	switch fault.Kind {
	case KindKill:
		r.with(node, func() { r.restart(node, syscall.SIGKILL, fault.For) })
	case KindTerm:
		r.with(node, func() { r.restart(node, syscall.SIGTERM, fault.For) })
	case KindFreeze:
		r.with(node, func() { r.freeze(node, fault.For) })
	case KindKillAll:
		r.killAll(fault.For)
	}
}

func (r *run) disturbTarget(fault Fault) {
	agents := append(r.site.Nodes(feed), r.site.Nodes(files)...)
	agent := agents[fault.On%len(agents)]
	r.with(agent, func() {
		switch fault.Kind {
		case KindCrash:
			r.replace(agent, 0, fault.For, r.site.Target(agent).Crash)
		case KindClock:
			r.replace(agent, time.Duration(fault.How%3-1)*time.Hour, fault.For, r.site.Target(agent).Crash)
		case KindDrain:
			r.drain(agent, fault.For)
		}
	})
}

// disturbStore has the store fail for all callers.
func (r *run) disturbStore(fault Fault) {
	switch fault.Kind {
	case KindStore:
		ways := []site.Fault{site.FaultUnavailable, site.FaultTooManyRequests, site.FaultReset, site.FaultNoResponse, site.FaultResponseLost}
		way := ways[fault.How%len(ways)]
		r.site.Store.SetFault(func(net.IP, bool) site.Fault { return way })
		time.Sleep(2 * fault.For)
		r.site.Store.SetFault(nil)
	case KindLapse:
		r.site.Store.ExpireLeases()
	case KindDeaf:
		r.site.Store.SetWatchesSilent(true)
		r.site.Store.Compact()
		time.Sleep(fault.For)
		r.site.Store.SetWatchesSilent(false)
	}
}

func (r *run) disturbNetwork(fault Fault) {
	switch fault.Kind {
	case KindLink:
		link := r.linkOf(r.nodes[fault.On%len(r.nodes)])
		link.set(linkMode(1 + fault.How%int(linkModes-1)))
		time.Sleep(2 * fault.For)
		link.set(linkOpen)
	case KindLoss:
		zone := zoneOf(fault)
		r.site.Router.SetPacketLoss(func(at string) bool { return at == zone && rand.Float64() < lossShare })
		time.Sleep(fault.For)
		r.site.Router.SetPacketLoss(nil)
	}
}

// operate does what operators do.
func (r *run) operate(fault Fault) {
	zone := zoneOf(fault)
	switch fault.Kind {
	case KindEvacuate:
		r.site.Evacuate(zone, true)
		time.Sleep(fault.For)
		r.site.Evacuate(zone, false)
	case KindConfigure:
		r.configure(wire.Backend{Service: files, Weight: 1}, wire.Backend{Service: feed, Weight: float64(fault.How % 2)})
		time.Sleep(fault.For)
		r.configure(wire.Backend{Service: feed, Weight: 1})
	case KindAdd:
		if _, err := r.site.AddBalancer(zone); err != nil {
			r.breach("a new balancer does not start: %v", err)
		}
	}
}

func zoneOf(fault Fault) string { return zones[fault.On%len(zones)] }

// with lets a fault happen on a node on its own, and lets the node rest.
func (r *run) with(node *site.Node, cause func()) {
	r.busy[node].Lock()
	defer r.busy[node].Unlock()
	cause()
	time.Sleep(restTime)
}

// restart ends a process and starts it again.
func (r *run) restart(node *site.Node, signal syscall.Signal, pause time.Duration) {
	told := time.Now()
	err := r.site.End(node, signal)
	if signal == syscall.SIGTERM && !graceful(err, time.Since(told)) {
		r.breach("%s does not end gracefully: %v after %s", node.Name, err, time.Since(told))
	}
	if node.Service() != "" {
		pause = pause / 2
	}
	time.Sleep(pause)
	r.start(node)
}

// graceful reports whether a process that was told to end did so in time. A
// balancer may cut its drain short: while few balancers of a zone are ready, the
// fabric sends to those that drain as well.
func graceful(err error, took time.Duration) bool {
	var exit *exec.ExitError
	cut := errors.As(err, &exit) && exit.ExitCode() == kernel.ExitDrainIncomplete
	return (err == nil || cut) && took <= site.GracePeriod
}

func (r *run) start(node *site.Node) {
	if err := r.site.StartNode(node); err != nil {
		r.breach("%s does not start: %v", node.Name, err)
	}
}

// killAll ends all processes at once.
func (r *run) killAll(pause time.Duration) {
	for _, node := range r.nodes {
		r.busy[node].Lock()
		defer r.busy[node].Unlock()
	}
	for _, node := range r.nodes {
		if err := r.site.Signal(node, syscall.SIGKILL); err != nil {
			r.breach("%s had ended: %v", node.Name, err)
		}
	}
	time.Sleep(pause)
	for _, node := range r.nodes {
		// A killed process always returns an error.
		_ = r.site.Wait(node)
		r.start(node)
	}
	time.Sleep(restTime)
}

func (r *run) freeze(node *site.Node, pause time.Duration) {
	if err := r.site.Signal(node, syscall.SIGSTOP); err != nil {
		r.breach("%s had ended: %v", node.Name, err)
	}
	time.Sleep(pause)
	if err := r.site.Signal(node, syscall.SIGCONT); err != nil {
		r.breach("%s had ended: %v", node.Name, err)
	}
}

// replace ends an agent's target and starts a new one.
func (r *run) replace(agent *site.Node, ahead, pause time.Duration, end func()) {
	end()
	time.Sleep(pause)
	if err := r.site.StartTargetWithClockOffset(agent, ahead); err != nil {
		r.breach("target of %s does not start: %v", agent.Name, err)
	}
}

// drain has a target say that it leaves. Once that is acknowledged, no new flow
// reaches it.
func (r *run) drain(agent *site.Node, pause time.Duration) {
	target := r.site.Target(agent)
	target.Drain()
	time.Sleep(inFlight)
	offered := target.Stats().OpeningsReceived
	time.Sleep(pause)
	if more := target.Stats().OpeningsReceived; more > offered {
		r.breach("%d flows were offered to the target of %s after it was drained", more-offered, agent.Name)
	}
	r.replace(agent, 0, 0, target.Deregister)
}

func (r *run) configure(backends ...wire.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.site.Configure(r.site.Route(0, backends...), r.site.Route(1, wire.Backend{Service: files, Weight: 1}))
}
