package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// serverConfig describes a server beside an agent.
type serverConfig struct {
	id, service, zone    string
	app, outbound, admin netip.AddrPort
	slots                int
	work                 time.Duration
	heartbeat, warmUp    time.Duration
}

// opening is the first copy of an opening packet that a server took.
type opening struct {
	key  flowKey
	copy uint32
	at   time.Time
}

// server is one incarnation of a server.
type server struct {
	serverConfig
	record *record
	born   time.Time
	udp    *net.UDPConn
	http   *http.Server
	slotsC chan struct{}
	stop   chan struct{}
	done   sync.WaitGroup

	mu       sync.Mutex
	flows    map[flowKey]*serverFlow
	openings []opening
	sequence uint64
	draining bool
	ended    bool
	damaged  int
	ran      map[string]int
	acked    chan struct{}
}

type serverFlow struct {
	side
	established bool
	isn         uint32
}

func startServer(c serverConfig, rec *record) (*server, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.app))
	if err != nil {
		return nil, err
	}
	tcp, err := net.Listen("tcp4", c.app.String())
	if err != nil {
		udp.Close()
		return nil, err
	}
	s := &server{
		serverConfig: c, record: rec, born: time.Now(), udp: udp, slotsC: make(chan struct{}, c.slots), stop: make(chan struct{}),
		flows: map[flowKey]*serverFlow{}, ran: map[string]int{}, acked: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		w.Header().Set("X-Instance-Id", s.id)
		if s.draining {
			w.WriteHeader(503)
		}
	})
	s.http = &http.Server{Handler: mux}
	s.done.Go(func() { _ = s.http.Serve(tcp) })
	s.done.Go(s.read)
	s.done.Go(s.beat)
	s.done.Go(s.ticks)
	rec.log("server %s starts, cold for %v", s.id, c.warmUp)
	return s, nil
}

// end ends the server without a word.
func (s *server) end() {
	s.mu.Lock()
	ended := s.ended
	s.ended = true
	s.mu.Unlock()
	if ended {
		return
	}
	close(s.stop)
	s.udp.Close()
	s.http.Close()
	s.done.Wait()
}

// drain makes the server report that it is draining, and waits for the acknowledgement.
func (s *server) drain(limit time.Duration) bool {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	select {
	case <-s.acked:
		return true
	case <-time.After(limit):
		return false
	}
}

// holds reports whether the server lives and holds the flow open.
func (s *server) holds(key flowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	return !s.ended && f != nil && f.established && !f.finSent
}

func (s *server) beat() {
	clock := time.NewTicker(s.heartbeat)
	defer clock.Stop()
	for {
		if !s.beatOnce() {
			// The next call follows soon, as there is no other node to turn to.
			select {
			case <-s.stop:
				return
			case <-time.After(s.heartbeat / 4):
			}
			continue
		}
		select {
		case <-s.stop:
			return
		case <-clock.C:
		}
	}
}

func (s *server) beatOnce() bool {
	s.mu.Lock()
	s.sequence++
	state, draining := "ready", s.draining
	if draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.app.String(), "zone": s.zone, "version": "v1", "max_concurrency": s.slots, "state": state,
		"warmup_left_ms": max(0, (s.warmUp - time.Since(s.born)).Milliseconds()), "sequence": s.sequence, "born": s.born.UnixMilli(),
	})
	s.mu.Unlock()
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+s.admin.String()+"/api/instances/"+s.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	response.Body.Close()
	ok := response.StatusCode/100 == 2
	if ok && draining {
		select {
		case <-s.acked:
		default:
			s.record.log("server %s: draining is acknowledged", s.id)
			close(s.acked)
		}
	}
	return ok
}

func (s *server) read() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := s.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		s.handle(append([]byte(nil), buffer[:n]...))
	}
}

func (s *server) write(b []byte) { _, _ = s.udp.WriteToUDPAddrPort(b, s.outbound) }

func (s *server) handle(b []byte) {
	p, err := parse(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || p.sum == 0 || p.flags&flagBack != 0 || p.flags&(flagSYN|flagACK) == flagSYN|flagACK {
		s.damaged++
		s.record.log("server %s: damaged or forged packet %+v", s.id, p)
		return
	}
	key := flowKey{p.src, p.dst}
	f := s.flows[key]
	switch {
	case p.flags&flagSYN != 0:
		if f == nil {
			h := fnv.New32a()
			fmt.Fprint(h, s.id, s.born.UnixNano(), key)
			f = &serverFlow{isn: h.Sum32()}
			f.side = side{self: key.route, peer: key.client, next: f.isn + 1, expected: p.seq + 1, send: func(p packet) { s.write(p.encode()) }}
			s.flows[key] = f
			s.openings = append(s.openings, opening{key, p.ack, time.Now()})
			s.record.log("server %s takes the opening packet of %v (copy %d)", s.id, key, p.ack)
		}
		f.send(packet{src: key.route, dst: key.client, flags: flagSYN | flagACK, seq: f.isn, ack: f.expected})
	case f == nil || (!f.established && p.ack != f.isn+1):
		b[offFlags] |= flagBack
		s.write(b)
	case p.flags&flagRST != 0:
		delete(s.flows, key)
	default:
		if !f.established {
			f.established = true
			s.record.log("server %s: %v is open", s.id, key)
		}
		data, fin := f.take(p)
		if len(data) > 0 {
			s.done.Go(func() { s.serve(key, f, data, fin) })
		} else if fin && !f.finSent {
			f.write(nil, true)
		}
	}
}

// serve runs one request and answers it. A draining server closes the flow after it.
func (s *server) serve(key flowKey, f *serverFlow, data []byte, fin bool) {
	id, work := "", s.work
	for _, line := range strings.Split(string(data), "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "X-Request-Id":
			id = value
		case "X-Work-Ms":
			if ms, err := strconv.Atoi(value); err == nil {
				work = time.Duration(ms) * time.Millisecond
			}
		}
	}
	s.record.log("server %s begins request %s of %v", s.id, id, key)
	s.slotsC <- struct{}{}
	time.Sleep(work)
	<-s.slotsC
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ran[id]++
	s.record.log("server %s has run request %s and answers", s.id, id)
	body := "ran " + id
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Signature: %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", s.id, id, len(body), body)
	f.write([]byte(answer), s.draining || fin)
}

func (s *server) ticks() {
	for {
		select {
		case <-s.stop:
			return
		case now := <-time.After(20 * time.Millisecond):
			s.mu.Lock()
			for key, f := range s.flows {
				f.tick(now)
				if f.tries >= 8 || (f.finSent && f.finTaken && f.resend == nil) {
					delete(s.flows, key)
				}
			}
			s.mu.Unlock()
		}
	}
}
