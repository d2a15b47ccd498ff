package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"time"
)

// Figures of the small deployments (sites/*.toml and their settings).
const (
	heartbeat    = 1200 * time.Millisecond
	graceSeconds = 6
	flowMaxS     = 60
	idleTimeout  = 15 * time.Second
	coldOver     = 1.5
	coldSlack    = 5
	restartPause = 300 * time.Millisecond // the "short delay" after which a process starts again
	warmUpRate   = 4.0                    // warmup_per_s; the site's own is 0.0, see review/4/claim.txt
	probeEvery   = 500 * time.Millisecond
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

type ports struct{ packets, readiness, admin, outbound, app, store, mesh uint16 }

// machine is one VM of the system with its process.
type machine struct {
	name, zone, program string
	ip                  netip.Addr
	service             string
	settings            string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	missed  int // of the readiness probe
}

// platform is a whole deployment on loopback addresses.
type platform struct {
	record   *record
	folder   string
	octet    byte
	ports    ports
	zones    []string
	store    *store
	http     *http.Server
	router   *net.UDPConn
	version  int
	clients  []*client
	hosts    map[string]int
	stop     chan struct{}
	stopping sync.WaitGroup

	mu       sync.Mutex
	machines []*machine
	servers  []*server
}

func newPlatform(rec *record, zones ...string) (*platform, error) {
	p := &platform{record: rec, zones: zones, store: newStore(), hosts: map[string]int{}, stop: make(chan struct{})}
	var err error
	if p.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	var listener net.Listener
	for range 50 {
		p.octet = byte(2 + rand.IntN(200))
		base := uint16(20000 + 10*rand.IntN(1000))
		p.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6}
		// The port of the metrics is fixed in the templates; it must be free too.
		if probe, err := net.Listen("tcp4", netip.AddrPortFrom(p.ip(1, 1), 9180).String()); err == nil {
			probe.Close()
		} else {
			continue
		}
		if listener, err = net.Listen("tcp4", p.at(p.ip(0, 1), p.ports.store).String()); err == nil {
			break
		}
	}
	if listener == nil {
		return nil, fmt.Errorf("no free port")
	}
	p.http = &http.Server{Handler: p.store}
	go func() { _ = p.http.Serve(listener) }()
	if p.router, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(p.at(p.ip(0, 2), p.ports.packets))); err != nil {
		return nil, err
	}
	p.stopping.Go(p.probe)
	return p, nil
}

func (p *platform) ip(zone, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, p.octet, byte(zone), byte(host)})
}

func (p *platform) at(ip netip.Addr, port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }

func (p *platform) zoneIndex(zone string) int {
	for i, name := range p.zones {
		if name == zone {
			return i + 1
		}
	}
	panic("zone " + zone)
}

// routeOf is the address of the nth service's route.
func routeOf(n int) end { return end{[4]byte{198, 18, 0, byte(n + 1)}, 8443} }

// configure writes the configuration: one route for each service.
func (p *platform) configure(services ...string) {
	p.version += 3
	routes, list := []map[string]any{}, []map[string]any{}
	for n, service := range services {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", n), "host": netip.AddrFrom4(routeOf(n).ip).String(), "prefix": fmt.Sprintf("/%d/", routeOf(n).port),
			"type": "non_idempotent", "timeout_ms": 5000, "target_latency_ms": 300, "priority": 1, "service": service, "attempts": 2,
		})
		list = append(list, map[string]any{
			"name": service, "health_check": "/healthz", "max_connections": 2000, "protocol": "h1", "tls": false, "warmup_s": 2.0, "warmup_per_s": warmUpRate,
		})
	}
	p.store.operator("op/config", map[string]any{
		"version": p.version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": idleTimeout.Milliseconds()},
	})
	p.record.log("operator: configuration %d is acknowledged", p.version)
}

// addMachine starts a machine of the system: an edge machine, or with a service one beside a
// server. Its settings are those of the templates in deploy/.
func (p *platform) addMachine(zone, service string) (*machine, error) {
	p.hosts[zone]++
	m := &machine{zone: zone, service: service, ip: p.ip(p.zoneIndex(zone), p.hosts[zone]), program: "target/balsampktlb", missed: 2}
	kind := "edge"
	if service != "" {
		kind, m.program = "side", "target/balsampktagent"
	}
	m.name = fmt.Sprintf("%s-%s-%d", kind, zone, p.hosts[zone])
	var seeds []string
	for i := range p.zones {
		seeds = append(seeds, p.at(p.ip(i+1, 1), p.ports.admin).String())
	}
	settings := map[string]any{
		"name": m.name, "vm": m.ip, "zone": zone, "zones": p.zones, "packets": p.at(m.ip, p.ports.packets), "readiness": p.at(m.ip, p.ports.readiness),
		"metrics": p.at(m.ip, 9180), "ports": []uint16{p.ports.mesh, p.ports.mesh}, "seeds": seeds,
		"underlay":  map[string]any{"plugin": "kvhttp", "settings": map[string]any{"address": p.at(p.ip(0, 1), p.ports.store)}},
		"memory_mb": 152, "grace_seconds": graceSeconds, "flow_lifetime_seconds": flowMaxS,
	}
	if service != "" {
		settings["target"] = map[string]any{
			"service": service, "address": p.at(m.ip, p.ports.app), "outbound": p.at(m.ip, p.ports.outbound), "registration": p.at(m.ip, p.ports.admin),
			"heartbeat_ms": heartbeat.Milliseconds(), "cold_factor": coldOver, "cold_slack": coldSlack,
		}
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	m.settings = filepath.Join(p.folder, m.name+".json")
	if err := os.WriteFile(m.settings, text, 0o644); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.machines = append(p.machines, m)
	p.mu.Unlock()
	return m, p.start(m)
}

func (p *platform) start(m *machine) error {
	log, err := os.OpenFile(filepath.Join(p.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(m.program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BALSAMLINK_SETTINGS=" + m.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = command.Wait(); close(exited) }()
	m.mu.Lock()
	m.process, m.exited = command, exited
	m.mu.Unlock()
	p.record.log("platform starts the process of %s", m.name)
	return nil
}

// stopProcess sends a signal and waits for the end, SIGKILL after the grace.
func (p *platform) stopProcess(m *machine, signal syscall.Signal) {
	m.mu.Lock()
	process, exited := m.process, m.exited
	m.mu.Unlock()
	p.record.log("platform sends signal %d (%v) to %s", int(signal), signal, m.name)
	_ = process.Process.Signal(signal)
	select {
	case <-exited:
	case <-time.After(graceSeconds * time.Second):
		_ = process.Process.Kill()
		<-exited
	}
	p.record.log("the process of %s has ended", m.name)
}

// roll stops a machine's process as planned work and starts it again.
func (p *platform) roll(m *machine) error {
	p.stopProcess(m, syscall.SIGTERM)
	time.Sleep(restartPause)
	return p.start(m)
}

// addServer starts a server on a side machine.
func (p *platform) addServer(m *machine, slots int, work, warmUp time.Duration) (*server, error) {
	s, err := startServer(serverConfig{
		id: "i-" + m.name, service: m.service, zone: m.zone, app: p.at(m.ip, p.ports.app), outbound: p.at(m.ip, p.ports.outbound), admin: p.at(m.ip, p.ports.admin),
		slots: slots, work: work, heartbeat: heartbeat, warmUp: warmUp,
	}, p.record)
	if err == nil {
		p.mu.Lock()
		p.servers = append(p.servers, s)
		p.mu.Unlock()
	}
	return s, err
}

// holder returns the living server that holds a flow open, or nil.
func (p *platform) holder(key flowKey) *server {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.holds(key) {
			return s
		}
	}
	return nil
}

func (p *platform) addClient(zone string) (*client, error) {
	address := p.at(p.ip(100+p.zoneIndex(zone), 1+len(p.clients)), p.ports.packets)
	c, err := newClient(address, func(key flowKey, b []byte) { p.forward(zone, key, b) }, p.record)
	if err == nil {
		p.clients = append(p.clients, c)
	}
	return c, err
}

// forward sends a client's packet to an edge machine of its zone that is in rotation, chosen
// by a steady hash; to any of the zone if fewer than half are, and to other zones if none is.
func (p *platform) forward(zone string, key flowKey, b []byte) {
	if m := p.choose(zone, key); m != nil {
		_, _ = p.router.WriteToUDPAddrPort(b, p.at(m.ip, p.ports.packets))
	}
}

func (p *platform) choose(zone string, key flowKey) *machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all, ready, others []*machine
	for _, m := range p.machines {
		m.mu.Lock()
		in := m.missed < 2
		m.mu.Unlock()
		switch {
		case m.service != "":
		case m.zone == zone:
			all = append(all, m)
			if in {
				ready = append(ready, m)
			}
		case in:
			others = append(others, m)
		}
	}
	candidates := ready
	if len(ready) == 0 {
		candidates = others
	} else if 2*len(ready) < len(all) {
		candidates = all
	}
	var best *machine
	var top uint64
	for _, m := range candidates {
		h := fnv.New64a()
		fmt.Fprint(h, key, m.ip, "steady")
		weight := h.Sum64() * 0x9E3779B97F4A7C15
		if best == nil || weight > top {
			best, top = m, weight
		}
	}
	return best
}

// probe asks each edge machine twice a second whether it is ready.
func (p *platform) probe() {
	for {
		p.mu.Lock()
		machines := append([]*machine(nil), p.machines...)
		p.mu.Unlock()
		var round sync.WaitGroup
		for _, m := range machines {
			if m.service != "" {
				continue
			}
			round.Go(func() {
				client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
				response, err := client.Get("http://" + p.at(m.ip, p.ports.readiness).String() + "/api/readyz")
				ok := err == nil && response.StatusCode == 200
				if err == nil {
					response.Body.Close()
				}
				m.mu.Lock()
				defer m.mu.Unlock()
				if ok {
					m.missed = 0
				} else {
					m.missed++
				}
			})
		}
		round.Wait()
		select {
		case <-p.stop:
			return
		case <-time.After(probeEvery):
		}
	}
}

// edges and sides return the machines in the order of their names.
func (p *platform) edges() []*machine {
	return p.list(func(m *machine) bool { return m.service == "" })
}

func (p *platform) list(keep func(*machine) bool) []*machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var kept []*machine
	for _, m := range p.machines {
		if keep(m) {
			kept = append(kept, m)
		}
	}
	sort.Slice(kept, func(i, j int) bool { return kept[i].name < kept[j].name })
	return kept
}

// awaitReady waits until all edge machines are in rotation.
func (p *platform) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ready := true
		for _, m := range p.edges() {
			m.mu.Lock()
			ready = ready && m.missed == 0
			m.mu.Unlock()
		}
		if ready {
			return nil
		}
	}
	for _, m := range p.list(func(*machine) bool { return true }) {
		if log, err := os.ReadFile(filepath.Join(p.folder, m.name+".log")); err == nil {
			p.record.log("%s misses %d probes; the end of its log: %s", m.name, m.missed, log[max(0, len(log)-600):])
		}
	}
	return fmt.Errorf("not all edge machines were ready in %v", limit)
}

// close ends everything that was started.
func (p *platform) close(keepLogs string) {
	for _, c := range p.clients {
		c.close()
	}
	for _, s := range p.servers {
		s.end()
	}
	for _, m := range p.machines {
		m.mu.Lock()
		process, exited := m.process, m.exited
		m.mu.Unlock()
		if process != nil {
			_ = process.Process.Kill()
			<-exited
		}
	}
	close(p.stop)
	p.stopping.Wait()
	p.router.Close()
	p.http.Close()
	if keepLogs != "" {
		_ = os.CopyFS(keepLogs, os.DirFS(p.folder))
	}
	os.RemoveAll(p.folder)
}

// damaged counts the packets that reached an end and that its sender didn't write so.
func (p *platform) damaged() int {
	total := 0
	for _, c := range p.clients {
		c.mu.Lock()
		total += c.damaged
		c.mu.Unlock()
	}
	for _, s := range p.servers {
		s.mu.Lock()
		total += s.damaged
		s.mu.Unlock()
	}
	return total
}
