package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// coldRestart: a server is added while the others are busy, and the process on its machine is
// stopped and started as planned work while the server is cold.
func coldRestart(p *platform, trouble bool) ([]string, error) {
	const slots, work = 5, 80 * time.Millisecond
	if _, _, err := deploy(p, 3, slots, work); err != nil {
		return nil, err
	}
	var loads sync.WaitGroup
	outcomes := map[string]int{}
	var mu sync.Mutex
	stop := make(chan struct{})
	// 150 requests a second fit the three servers; 1.7 times as many come, a flow each.
	const perSecond = 255
	for _, zone := range []string{zoneA, zoneB} {
		c, err := p.addClient(zone)
		if err != nil {
			return nil, err
		}
		loads.Go(func() {
			clock := time.NewTicker(2 * time.Second / perSecond)
			defer clock.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-clock.C:
				}
				loads.Go(func() {
					outcome := "not opened"
					if f := c.open(routeOf(0)); f != nil {
						outcome = c.request(f, fmt.Sprintf("%s-%d", zone, i), "POST", int(work.Milliseconds()), 3*time.Second)
						c.finish(f)
					}
					mu.Lock()
					outcomes[outcome]++
					mu.Unlock()
				})
			}
		})
	}
	time.Sleep(time.Second)
	m, err := p.addMachine(zoneA, "booking-feed")
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second) // the process runs before its server does
	const warmUp = 2 * time.Second
	added, err := p.addServer(m, slots, work, warmUp)
	if err != nil {
		return nil, err
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		if err := p.roll(m); err != nil {
			return nil, err
		}
	}
	time.Sleep(warmUp - time.Since(added.born) + 200*time.Millisecond)
	close(stop)
	loads.Wait()
	p.record.log("requests: %v", outcomes)
	return failback(p, added, warmUp), nil
}

// failback checks rule FAILBACK: the opening packets that a cold server took, those of which
// were sent and arrived within one second.
func failback(p *platform, s *server, warmUp time.Duration) []string {
	type taken struct{ sent, arrived time.Time }
	var all []taken
	s.mu.Lock()
	for _, o := range s.openings {
		if o.at.Sub(s.born) > warmUp {
			continue
		}
		for _, c := range p.clients {
			c.mu.Lock()
			if times := c.sent[o.key]; int(o.copy) < len(times) {
				all = append(all, taken{times[o.copy], o.at})
			}
			c.mu.Unlock()
		}
	}
	s.mu.Unlock()
	sort.Slice(all, func(i, j int) bool { return all[i].sent.Before(all[j].sent) })
	limit, most := warmUpRate*coldOver+coldSlack, 0
	var broken []string
	for _, first := range all {
		count := 0
		for _, one := range all {
			if !one.sent.Before(first.sent) && !one.arrived.After(first.sent.Add(time.Second)) {
				count++
			}
		}
		most = max(most, count)
		if float64(count) > limit {
			broken = append(broken, fmt.Sprintf("FAILBACK: %d requests were sent to and arrived at the cold server in the second from %.3f s after its start; allowed: %.0f",
				count, first.sent.Sub(s.born).Seconds(), limit))
		}
	}
	p.record.log("the cold server took %d flows while it was cold, at most %d within a second", len(all), most)
	return broken
}
