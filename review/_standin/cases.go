package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	zoneA = "sapa"
	zoneB = "mu-cang"
)

// deploy starts two edge machines in each zone and servers of one service, and waits until
// every server is warm and flows open.
func deploy(p *platform, servers, slots int, work time.Duration) ([]*server, []*machine, error) {
	p.configure("booking-feed")
	var sides []*machine
	var started []*server
	for i := range servers {
		m, err := p.addMachine([]string{zoneA, zoneB}[i%2], "booking-feed")
		if err != nil {
			return nil, nil, err
		}
		s, err := p.addServer(m, slots, work, 0)
		if err != nil {
			return nil, nil, err
		}
		sides, started = append(sides, m), append(started, s)
	}
	for _, zone := range []string{zoneA, zoneA, zoneB, zoneB} {
		if _, err := p.addMachine(zone, ""); err != nil {
			return nil, nil, err
		}
	}
	if err := p.awaitReady(15 * time.Second); err != nil {
		return nil, nil, err
	}
	// Traffic starts some seconds after the machines do.
	time.Sleep(3 * time.Second)
	return started, sides, nil
}

// watchResets collects the resets of the system that clients get on flows that a living server
// holds open (rule FLOW, a).
type watchResets struct {
	p      *platform
	mu     sync.Mutex
	broken []string
}

func (w *watchResets) attach(c *client) {
	c.onSystem = func(f *clientFlow, _ packet) {
		holder := w.p.holder(f.key)
		if holder == nil {
			return
		}
		w.p.record.log("client gets a reset of the system on %v, which server %s holds open", f.key, holder.id)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.broken = append(w.broken, fmt.Sprintf("FLOW: reset of the system on %v, which the living server %s holds open", f.key, holder.id))
	}
}

func (w *watchResets) result() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken
}

// idleFirst: clients open flows and pause before their first request, while the edge machines
// of their zone are stopped and started in turn.
func idleFirst(p *platform, trouble bool) ([]string, error) {
	if _, _, err := deploy(p, 4, 5, 40*time.Millisecond); err != nil {
		return nil, err
	}
	watch := &watchResets{p: p}
	c, err := p.addClient(zoneA)
	if err != nil {
		return nil, err
	}
	watch.attach(c)
	var pausing, busy []*clientFlow
	for i := range 24 {
		f := c.open(routeOf(0))
		if f == nil {
			return nil, fmt.Errorf("a flow did not open before the disruption")
		}
		if i%3 != 0 {
			pausing = append(pausing, f)
			continue
		}
		// These have an answer before they pause.
		if outcome := c.request(f, fmt.Sprintf("first-%d", i), "POST", 40, 4*time.Second); outcome != "200" {
			return nil, fmt.Errorf("a request before the disruption ended with %s", outcome)
		}
		busy = append(busy, f)
	}
	opened := time.Now()
	p.record.log("%d flows are open without a request, %d after one; all pause", len(pausing), len(busy))
	// With the disruption, the edge machines of the clients' zone are stopped and started in
	// turn, all in the pause.
	const pause, gap = 10 * time.Second, 1300 * time.Millisecond
	if trouble {
		for _, m := range p.edges() {
			if m.zone != zoneA {
				continue
			}
			time.Sleep(gap)
			if err := p.roll(m); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(pause - time.Since(opened))
	if err := p.awaitReady(5 * time.Second); err != nil {
		return nil, err
	}
	p.record.log("the pause ends after %.1f s (idle_timeout_ms is %d)", time.Since(opened).Seconds(), idleTimeout.Milliseconds())
	var waiting sync.WaitGroup
	outcomes := map[string]int{}
	var mu sync.Mutex
	i := 0
	for _, list := range [][]*clientFlow{pausing, busy} {
		for _, f := range list {
			i++
			name := fmt.Sprintf("after-pause-%d", i)
			kind := "without an earlier request"
			if i > len(pausing) {
				kind = "with an earlier request"
			}
			waiting.Go(func() {
				outcome := c.request(f, name, "POST", 40, 5*time.Second)
				mu.Lock()
				outcomes[kind+": "+outcome]++
				mu.Unlock()
			})
		}
	}
	waiting.Wait()
	p.record.log("requests after the pause: %v", outcomes)
	return watch.result(), nil
}

// drainRestart: a server is leaving and finishes its work, and the process on its machine is
// stopped and started as planned work.
func drainRestart(p *platform, trouble bool) ([]string, error) {
	servers, sides, err := deploy(p, 4, 8, 72*time.Millisecond)
	if err != nil {
		return nil, err
	}
	watch := &watchResets{p: p}
	var flows []*clientFlow
	clients := map[*clientFlow]*client{}
	for _, zone := range []string{zoneA, zoneB} {
		c, err := p.addClient(zone)
		if err != nil {
			return nil, err
		}
		watch.attach(c)
		for i := range 16 {
			f := c.open(routeOf(0))
			if f == nil {
				return nil, fmt.Errorf("a flow did not open before the disruption")
			}
			if outcome := c.request(f, fmt.Sprintf("first-%s-%d", zone, i), "POST", 72, 5*time.Second); outcome != "200" {
				return nil, fmt.Errorf("a request before the disruption ended with %s", outcome)
			}
			flows, clients[f] = append(flows, f), c
		}
	}
	leaving, machine := servers[0], sides[0]
	p.record.log("server %s leaves", leaving.id)
	if !leaving.drain(5 * time.Second) {
		return nil, fmt.Errorf("draining was not acknowledged")
	}
	outcomes := map[string]int{}
	var mu sync.Mutex
	var waiting sync.WaitGroup
	for i, f := range flows {
		if !leaving.holds(f.key) || i%2 == 0 {
			continue
		}
		waiting.Go(func() {
			outcome := clients[f].request(f, fmt.Sprintf("booking-%d", i), "POST", 430, 5*time.Second)
			mu.Lock()
			outcomes[outcome]++
			mu.Unlock()
		})
	}
	time.Sleep(150 * time.Millisecond)
	if trouble {
		if err := p.roll(machine); err != nil {
			return nil, err
		}
	}
	waiting.Wait()
	p.record.log("bookings at the leaving server: %v", outcomes)
	// The rest of the flows make their last request, as long as the server stays.
	time.Sleep(1500 * time.Millisecond)
	for i, f := range flows {
		if leaving.holds(f.key) && i%2 == 0 {
			clients[f].request(f, fmt.Sprintf("last-%d", i), "POST", 72, 5*time.Second)
		}
	}
	for id, count := range leaving.ran {
		if count > 1 {
			p.record.log("request %s ran %d times", id, count)
		}
	}
	return watch.result(), nil
}
