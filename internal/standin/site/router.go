package site

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/platform/wire"
)

const (
	// probeInterval is the time between two readiness probes of a balancer.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// maxMissedProbes is the number of consecutive failed probes after which a
	// balancer is out of rotation.
	maxMissedProbes = 2
)

// HashMethod is how routers map flows to balancers.
type HashMethod string

// The hash methods.
const (
	// HashRendezvous uses rendezvous hashing: a balancer that joins or leaves remaps
	// only its own flows.
	HashRendezvous HashMethod = "steady"
	// HashModulo takes the hash modulo the number of balancers: any change remaps
	// nearly all flows.
	HashModulo HashMethod = "mod"
)

// balancerEntry is the router's record of a balancer.
type balancerEntry struct {
	zone      string
	packets   netip.AddrPort
	readiness netip.AddrPort
	// missedProbes is the number of consecutive failed probes.
	missedProbes int
}

// Router simulates the routers of the fabric. Its methods are safe for concurrent
// use.
type Router struct {
	hash   HashMethod
	socket *net.UDPConn
	stop   context.CancelFunc
	done   sync.WaitGroup
	// dropPacket is the function given to SetPacketLoss.
	dropPacket atomic.Pointer[func(zone string) bool]

	mu      sync.Mutex
	entries []*balancerEntry
}

// NewRouter returns a router that sends from an address and starts its readiness
// probes.
func NewRouter(hash HashMethod, address netip.AddrPort) (*Router, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Router{hash: hash, socket: socket, stop: cancel}
	r.done.Go(func() { r.probeLoop(ctx) })
	return r, nil
}

// Close stops the probes and closes the socket.
func (r *Router) Close() {
	r.stop()
	r.done.Wait()
	r.socket.Close()
}

// Add registers a balancer. It is out of rotation until a probe succeeds.
func (r *Router) Add(zone string, packets, readiness netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, &balancerEntry{zone: zone, packets: packets, readiness: readiness, missedProbes: maxMissedProbes})
	slices.SortFunc(r.entries, func(a, b *balancerEntry) int { return a.packets.Compare(b.packets) })
}

// Remove deregisters a balancer.
func (r *Router) Remove(packets netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = slices.DeleteFunc(r.entries, func(e *balancerEntry) bool { return e.packets == packets })
}

// SetPacketLoss sets the function that decides, packet by packet, whether a packet
// of a zone's clients is dropped; nil drops none.
func (r *Router) SetPacketLoss(loss func(zone string) bool) {
	if loss == nil {
		r.dropPacket.Store(nil)
		return
	}
	r.dropPacket.Store(&loss)
}

// Route sends a client's packet to a balancer of its zone, or of another zone if
// none of its zone is in rotation. Without a balancer the packet is dropped.
func (r *Router) Route(zone string, key flow.Key, datagram []byte) {
	balancer := r.choose(zone, key)
	if loss := r.dropPacket.Load(); loss != nil && (*loss)(zone) {
		return
	}
	if balancer.IsValid() {
		// Send errors are ignored: the packet is lost, as on a real network.
		_, _ = r.socket.WriteToUDPAddrPort(datagram, balancer)
	}
}

// choose returns the balancer for a flow. The candidates are the zone's balancers in
// rotation. While these are fewer than half of the zone's balancers, all of the zone
// are candidates; while there are none, those in rotation in other zones are. Without
// any candidate the result is invalid.
func (r *Router) choose(zone string, key flow.Key) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, ready, others []*balancerEntry
	for _, e := range r.entries {
		switch {
		case e.zone == zone && e.missedProbes < maxMissedProbes:
			ready = append(ready, e)
			all = append(all, e)
		case e.zone == zone:
			all = append(all, e)
		case e.missedProbes < maxMissedProbes:
			others = append(others, e)
		}
	}
	candidates := ready
	switch {
	case len(ready) == 0:
		candidates = others
	case 2*len(ready) < len(all):
		candidates = all
	}
	if len(candidates) == 0 {
		return netip.AddrPort{}
	}
	if r.hash == HashModulo {
		return candidates[key.Hash()%uint64(len(candidates))].packets
	}
	best := candidates[0]
	for _, e := range candidates[1:] {
		if key.RendezvousWeight(e.packets.Addr()) > key.RendezvousWeight(best.packets.Addr()) {
			best = e
		}
	}
	return best.packets
}

// probeLoop probes all balancers every probeInterval until the context is done.
func (r *Router) probeLoop(ctx context.Context) {
	clock := time.NewTicker(probeInterval)
	defer clock.Stop()
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r.mu.Lock()
		entries := slices.Clone(r.entries)
		r.mu.Unlock()
		var round sync.WaitGroup
		for _, e := range entries {
			round.Go(func() { r.probeOne(client, e) })
		}
		round.Wait()
		select {
		case <-ctx.Done():
			return
		case <-clock.C:
		}
	}
}

func (r *Router) probeOne(client *http.Client, e *balancerEntry) {
	response, err := client.Get("http://" + e.readiness.String() + wire.PathReady)
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		response.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ready {
		e.missedProbes = 0
	} else {
		e.missedProbes++
	}
}

// ReadyCount returns the number of balancers in rotation.
func (r *Router) ReadyCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, e := range r.entries {
		if e.missedProbes < maxMissedProbes {
			count++
		}
	}
	return count
}
