package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/platform/wire"
)

const (
	heartbeatInterval = 400 * time.Millisecond
	heartbeatTimeout  = time.Second
	// workTime is how long a request holds a slot.
	workTime = 5 * time.Millisecond
	// healthPath is where targets answer health checks.
	healthPath = "/healthz"
)

// TargetConfig describes a target.
type TargetConfig struct {
	Service      string
	Zone         string
	Address      netip.AddrPort
	Outbound     netip.AddrPort
	Registration netip.AddrPort
	Slots        int
	// Cold is how long the target is cold after its start.
	Cold time.Duration
	// Ahead is how far the target's clock is ahead.
	Ahead time.Duration
}

// Seen counts what a target has seen.
type Seen struct {
	Opened, Requests, Bounced int
	// Offered are the flows whose opening packet came.
	Offered int
	// Forged packets are not as their sender wrote them.
	Forged int
	// OpenedAt are the times at which flows were opened.
	OpenedAt []time.Time
}

// Target is the stand-in for one incarnation of a target.
type Target struct {
	config TargetConfig
	id     string
	born   int64
	socket *net.UDPConn
	http   *http.Server
	slots  chan struct{}
	ticker *ticker
	stop   context.CancelFunc
	wait   sync.WaitGroup

	mu       sync.Mutex
	flows    map[flow.Key]*targetFlow
	seen     Seen
	sequence uint64
	draining bool
	ended    bool
	// acked tells that the draining state was acknowledged.
	acked chan struct{}
}

type targetFlow struct {
	stream stream
	open   bool
	input  bytes.Buffer
}

// StartTarget starts a new incarnation of a target.
func StartTarget(config TargetConfig) (*Target, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.Address))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", config.Address.String())
	if err != nil {
		socket.Close()
		return nil, err
	}
	born := time.Now()
	t := &Target{
		config: config, id: fmt.Sprintf("i-%x", born.UnixNano()), born: born.Add(config.Ahead).UnixMilli(), socket: socket,
		slots: make(chan struct{}, config.Slots), flows: map[flow.Key]*targetFlow{}, acked: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+healthPath, t.serveHealth)
	t.http = &http.Server{Handler: mux}
	ctx, cancel := context.WithCancel(context.Background())
	t.stop = cancel
	t.wait.Go(func() { t.http.Serve(listener) })
	t.wait.Go(t.read)
	t.wait.Go(func() { t.beat(ctx) })
	t.ticker = startTicker(t.tick)
	return t, nil
}

// Seen returns what the target has seen so far.
func (t *Target) Seen() Seen {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seen
}

// Holds reports whether the target lives and holds a flow.
func (t *Target) Holds(key flow.Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.flows[key]
	return !t.ended && held != nil && held.open
}

// Drain announces that the target leaves and returns when that is acknowledged.
func (t *Target) Drain() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	<-t.acked
}

// Leave sends the target's last word and ends it.
func (t *Target) Leave() {
	t.call(context.Background(), "/deregister", wire.Heartbeat{IncarnationStart: &t.born})
	t.Crash()
}

// Crash ends the target without a word.
func (t *Target) Crash() {
	t.mu.Lock()
	ended := t.ended
	t.ended = true
	t.mu.Unlock()
	if ended {
		return
	}
	t.stop()
	t.socket.Close()
	t.http.Close()
	t.ticker.end()
	t.wait.Wait()
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(wire.HeaderInstance, t.id)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) beat(ctx context.Context) {
	clock := time.NewTicker(heartbeatInterval)
	defer clock.Stop()
	for {
		t.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-clock.C:
		}
	}
}

func (t *Target) announce(ctx context.Context) {
	t.mu.Lock()
	t.sequence++
	sequence, state, draining := t.sequence, wire.StateReady, t.draining
	t.mu.Unlock()
	if draining {
		state = wire.StateDraining
	}
	address, version := t.config.Address.String(), "v1"
	warm := max(0, t.config.Cold.Milliseconds()-(time.Now().Add(t.config.Ahead).UnixMilli()-t.born))
	acknowledged := t.call(ctx, "/heartbeat", wire.Heartbeat{
		Service: &t.config.Service, Address: &address, Zone: &t.config.Zone, Version: &version, Slots: &t.config.Slots,
		State: &state, WarmUpLeftMillis: &warm, Sequence: &sequence, IncarnationStart: &t.born,
	})
	if draining && acknowledged {
		select {
		case <-t.acked:
		default:
			close(t.acked)
		}
	}
}

func (t *Target) call(ctx context.Context, call string, body wire.Heartbeat) bool {
	text, err := json.Marshal(body)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	url := "http://" + t.config.Registration.String() + wire.PathInstances + t.id + call
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (t *Target) read() {
	buffer := make([]byte, flow.MaxPacket)
	for {
		size, _, err := t.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		t.take(append([]byte(nil), buffer[:size]...))
	}
}

func (t *Target) take(datagram []byte) {
	p, forged := parse(datagram)
	t.mu.Lock()
	defer t.mu.Unlock()
	if forged || p.flags&(wire.FlagSyn|wire.FlagAck) == wire.FlagSyn|wire.FlagAck || p.flags&wire.FlagBounced != 0 {
		t.seen.Forged++
		return
	}
	key := flow.Key{Client: p.source, Service: p.destination}
	held := t.flows[key]
	switch {
	case p.flags&wire.FlagSyn != 0:
		t.open(key, p, held)
	case held == nil || (!held.open && p.ack != held.stream.next):
		t.bounce(datagram)
	default:
		if !held.open {
			held.open = true
			t.seen.Opened++
			t.seen.OpenedAt = append(t.seen.OpenedAt, time.Now())
		}
		held.stream.take(p)
	}
}

func (t *Target) open(key flow.Key, p packet, held *targetFlow) {
	if held == nil {
		held = &targetFlow{}
		held.stream = stream{
			local: key.Service, remote: key.Client, next: uint32(t.born) + uint32(len(t.flows)) + 1, expected: p.sequence + 1,
			early: map[uint32]packet{}, send: t.send, receive: func(data []byte) { t.receive(key, data) },
		}
		t.flows[key] = held
		t.seen.Offered++
	}
	t.send(packet{
		source: key.Service, destination: key.Client, flags: wire.FlagSyn | wire.FlagAck,
		sequence: held.stream.next - 1, ack: held.stream.expected,
	})
}

func (t *Target) bounce(datagram []byte) {
	t.seen.Bounced++
	datagram[wire.OffsetFlags] |= wire.FlagBounced
	t.out(datagram)
}

func (t *Target) send(p packet) { t.out(p.encode()) }

func (t *Target) out(datagram []byte) {
	// A node that is away loses the packet; the other end asks for it again.
	_, _ = t.socket.WriteToUDPAddrPort(datagram, t.config.Outbound)
}

// receive takes the requests of a flow: lines with an identifier and the size of
// the answer.
func (t *Target) receive(key flow.Key, data []byte) {
	held := t.flows[key]
	if data == nil {
		held.stream.close()
		return
	}
	held.input.Write(data)
	for {
		line, err := held.input.ReadString('\n')
		if err != nil {
			held.input.WriteString(line)
			return
		}
		t.seen.Requests++
		t.wait.Go(func() { t.run(key, held, line) })
	}
}

func (t *Target) run(key flow.Key, held *targetFlow, line string) {
	t.slots <- struct{}{}
	time.Sleep(workTime)
	<-t.slots
	var id string
	var size int
	if _, err := fmt.Sscanf(line, "%s %d", &id, &size); err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	head := fmt.Sprintf("%s %s %d\n", id, t.config.Service, size)
	held.stream.write(append([]byte(head), bytes.Repeat([]byte{'x'}, size)...))
	if t.draining {
		held.stream.close()
	}
}

func (t *Target) tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, held := range t.flows {
		held.stream.tick(now)
		if held.stream.failed {
			delete(t.flows, key)
		}
	}
}
