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
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// probeMisses is after how many misses a balancer is left out.
	probeMisses = 2
)

// Hash tells how routers choose a balancer.
type Hash string

// The kinds of routers.
const (
	// HashSteady moves only the flows of a balancer that joins or leaves.
	HashSteady Hash = "steady"
	// HashMod moves nearly all flows.
	HashMod Hash = "mod"
)

// entry is a balancer as routers see it.
type entry struct {
	zone      string
	packets   netip.AddrPort
	readiness netip.AddrPort
	misses    int
}

// Router is the stand-in for the fabric.
type Router struct {
	hash   Hash
	socket *net.UDPConn
	stop   context.CancelFunc
	done   sync.WaitGroup
	loss   atomic.Pointer[func(zone string) bool]

	mu      sync.Mutex
	entries []*entry
}

// NewRouter makes a router that sends from an address.
func NewRouter(hash Hash, address netip.AddrPort) (*Router, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Router{hash: hash, socket: socket, stop: cancel}
	r.done.Go(func() { r.probe(ctx) })
	return r, nil
}

// Close ends the router.
func (r *Router) Close() {
	r.stop()
	r.done.Wait()
	r.socket.Close()
}

// Add makes a balancer known. It is out of rotation until it is ready.
func (r *Router) Add(zone string, packets, readiness netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, &entry{zone: zone, packets: packets, readiness: readiness, misses: probeMisses})
	slices.SortFunc(r.entries, func(a, b *entry) int { return a.packets.Compare(b.packets) })
}

// Remove makes a balancer unknown.
func (r *Router) Remove(packets netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = slices.DeleteFunc(r.entries, func(e *entry) bool { return e.packets == packets })
}

// SetLoss decides which packets of clients of a zone are lost; nil loses none.
func (r *Router) SetLoss(loss func(zone string) bool) {
	if loss == nil {
		r.loss.Store(nil)
		return
	}
	r.loss.Store(&loss)
}

// Route sends a client's packet to a balancer of its zone.
func (r *Router) Route(zone string, key flow.Key, datagram []byte) {
	target := r.choose(zone, key)
	if loss := r.loss.Load(); loss != nil && (*loss)(zone) {
		return
	}
	if target.IsValid() {
		// A packet that can't be sent is lost, as on a real network.
		_, _ = r.socket.WriteToUDPAddrPort(datagram, target)
	}
}

func (r *Router) choose(zone string, key flow.Key) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, ready, others []*entry
	for _, e := range r.entries {
		switch {
		case e.zone == zone && e.misses < probeMisses:
			ready = append(ready, e)
			all = append(all, e)
		case e.zone == zone:
			all = append(all, e)
		case e.misses < probeMisses:
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
	if r.hash == HashMod {
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

func (r *Router) probe(ctx context.Context) {
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

func (r *Router) probeOne(client *http.Client, e *entry) {
	response, err := client.Get("http://" + e.readiness.String() + wire.PathReady)
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		response.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ready {
		e.misses = 0
	} else {
		e.misses++
	}
}

// Ready returns the number of balancers in rotation.
func (r *Router) Ready() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, e := range r.entries {
		if e.misses < probeMisses {
			count++
		}
	}
	return count
}
