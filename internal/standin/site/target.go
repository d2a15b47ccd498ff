package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/platform/wire"
)

const (
	heartbeatInterval = 400 * time.Millisecond
	heartbeatTimeout  = time.Second
	// workTime is how long a request occupies a slot.
	workTime = 5 * time.Millisecond
	// healthPath is the path of targets' health checks.
	healthPath = "/healthz"
)

// TargetConfig describes a target.
type TargetConfig struct {
	Service string
	Zone    string
	// Address is where the target receives packets (UDP) and health checks (TCP).
	Address netip.AddrPort
	// Outbound is the agent's address to which the target sends its packets.
	Outbound netip.AddrPort
	// Registration is the agent's address to which the target sends heartbeats.
	Registration netip.AddrPort
	// Slots is the number of requests that the target serves concurrently.
	Slots int
	// WarmUp is how long the target reports that it is warming up after its start.
	WarmUp time.Duration
	// ClockOffset is how far the target's clock is ahead; it may be negative.
	ClockOffset time.Duration
	// GaveUp is called, unless nil, for each flow that the target drops because its client
	// does not acknowledge a packet. It must not call the target.
	GaveUp func(key flow.Key)
}

// TargetStats counts the flows, requests and packets of a target.
type TargetStats struct {
	// Opened counts flows that completed their handshake, and Bounced packets that
	// were returned because the target does not hold their flow.
	Opened, Requests, Bounced int
	// OpeningsReceived is the number of flows whose opening packet was received.
	OpeningsReceived int
	// InvalidPackets counts packets that were malformed, whose checksum did not match,
	// or that a client can't have sent.
	InvalidPackets int
	// OpenedAt are the times at which flows completed their handshake, and ReceivedAt those
	// at which their opening packets were received.
	OpenedAt   []time.Time
	ReceivedAt []time.Time
	// StartedAt is when the target was started, and AnnouncedAt when its first heartbeat was
	// acknowledged.
	StartedAt, AnnouncedAt time.Time
}

// Target simulates one incarnation of a target. Its methods are safe for concurrent
// use.
type Target struct {
	config TargetConfig
	// id identifies the incarnation to the agent.
	id string
	// incarnation is the start time by the target's clock, in Unix milliseconds.
	incarnation int64
	socket      *net.UDPConn
	http        *http.Server
	// slots is a semaphore with config.Slots places.
	slots   chan struct{}
	ticker  *ticker
	stop    context.CancelFunc
	running sync.WaitGroup

	mu       sync.Mutex
	flows    map[flow.Key]*targetFlow
	stats    TargetStats
	sequence uint64
	draining bool
	ended    bool
	// drainAcked is closed once the draining state has been acknowledged.
	drainAcked chan struct{}
}

// targetFlow is a target's end of a flow.
type targetFlow struct {
	stream stream
	// established is set once the client has completed the handshake.
	established bool
	// input holds the beginning of a request line that is still incomplete.
	input bytes.Buffer
}

// StartTarget starts a new incarnation of a target and its heartbeats.
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
	started := time.Now()
	t := &Target{
		config: config, id: fmt.Sprintf("i-%x", started.UnixNano()), incarnation: started.Add(config.ClockOffset).UnixMilli(), socket: socket,
		stats: TargetStats{StartedAt: started}, slots: make(chan struct{}, config.Slots), flows: map[flow.Key]*targetFlow{}, drainAcked: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+healthPath, t.serveHealth)
	t.http = &http.Server{Handler: mux}
	ctx, cancel := context.WithCancel(context.Background())
	t.stop = cancel
	t.running.Go(func() { t.http.Serve(listener) })
	t.running.Go(t.read)
	t.running.Go(func() { t.sendHeartbeats(ctx) })
	t.ticker = startTicker(t.tick)
	return t, nil
}

// Stats returns the counts so far.
func (t *Target) Stats() TargetStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.stats
	stats.ReceivedAt = slices.Clone(stats.ReceivedAt)
	return stats
}

// Holds reports whether the target is running and has the flow established.
func (t *Target) Holds(key flow.Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.flows[key]
	return !t.ended && held != nil && held.established
}

// Drain sets the target's state to draining and returns once a heartbeat with that
// state has been acknowledged.
func (t *Target) Drain() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	<-t.drainAcked
}

// Deregister deregisters the target with its agent and stops it.
func (t *Target) Deregister() {
	t.post(context.Background(), "/deregister", wire.Heartbeat{IncarnationStart: &t.incarnation})
	t.Crash()
}

// Crash stops the target without deregistering it.
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
	t.running.Wait()
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(wire.HeaderInstance, t.id)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) sendHeartbeats(ctx context.Context) {
	clock := time.NewTicker(heartbeatInterval)
	defer clock.Stop()
	for {
		t.sendHeartbeat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-clock.C:
		}
	}
}

func (t *Target) sendHeartbeat(ctx context.Context) {
	t.mu.Lock()
	t.sequence++
	sequence, state, draining := t.sequence, wire.StateReady, t.draining
	t.mu.Unlock()
	if draining {
		state = wire.StateDraining
	}
	address, version := t.config.Address.String(), "v1"
	warmUpLeft := max(0, t.config.WarmUp.Milliseconds()-(time.Now().Add(t.config.ClockOffset).UnixMilli()-t.incarnation))
	acknowledged := t.post(ctx, "/heartbeat", wire.Heartbeat{
		Service: &t.config.Service, Address: &address, Zone: &t.config.Zone, Version: &version, Slots: &t.config.Slots,
		State: &state, WarmUpLeftMillis: &warmUpLeft, Sequence: &sequence, IncarnationStart: &t.incarnation,
	})
	t.mu.Lock()
	if acknowledged && t.stats.AnnouncedAt.IsZero() {
		t.stats.AnnouncedAt = time.Now()
	}
	t.mu.Unlock()
	if draining && acknowledged {
		select {
		case <-t.drainAcked:
		default:
			close(t.drainAcked)
		}
	}
}

// post sends a registration call to the agent and reports whether it succeeded.
func (t *Target) post(ctx context.Context, call string, body wire.Heartbeat) bool {
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
		t.handlePacket(append([]byte(nil), buffer[:size]...))
	}
}

func (t *Target) handlePacket(datagram []byte) {
	p, invalid := parse(datagram)
	t.mu.Lock()
	defer t.mu.Unlock()
	if invalid || p.flags&(wire.FlagSyn|wire.FlagAck) == wire.FlagSyn|wire.FlagAck || p.flags&wire.FlagBounced != 0 {
		t.stats.InvalidPackets++
		return
	}
	key := flow.Key{Client: p.source, Service: p.destination}
	held := t.flows[key]
	switch {
	case p.flags&wire.FlagSyn != 0:
		t.handleOpening(key, p, held)
	// Either the target does not hold the flow, or the packet does not acknowledge
	// the target's part of the handshake: the client shook hands with another target.
	case held == nil || (!held.established && p.ack != held.stream.nextSequence):
		t.bounce(datagram)
	default:
		if !held.established {
			held.established = true
			t.stats.Opened++
			t.stats.OpenedAt = append(t.stats.OpenedAt, time.Now())
		}
		held.stream.handlePacket(p)
	}
}

// handleOpening answers an opening packet. It creates the flow unless the packet is
// a copy of an earlier one. The initial sequence number depends on the incarnation
// and on the number of flows, so that an acknowledgement of another target's
// handshake is unlikely to match.
func (t *Target) handleOpening(key flow.Key, p packet, held *targetFlow) {
	if held == nil {
		held = &targetFlow{}
		held.stream = stream{
			local: key.Service, remote: key.Client, nextSequence: uint32(t.incarnation) + uint32(len(t.flows)) + 1, expectedSequence: p.sequence + 1,
			outOfOrder: map[uint32]packet{}, send: t.send, receive: func(data []byte) { t.handleRequests(key, data) },
		}
		t.flows[key] = held
		t.stats.OpeningsReceived++
		t.stats.ReceivedAt = append(t.stats.ReceivedAt, time.Now())
	}
	t.send(packet{
		source: key.Service, destination: key.Client, flags: wire.FlagSyn | wire.FlagAck,
		sequence: held.stream.nextSequence - 1, ack: held.stream.expectedSequence,
	})
}

// bounce returns a packet to the agent.
func (t *Target) bounce(datagram []byte) {
	t.stats.Bounced++
	datagram[wire.OffsetFlags] |= wire.FlagBounced
	t.write(datagram)
}

func (t *Target) send(p packet) { t.write(p.encode()) }

func (t *Target) write(datagram []byte) {
	// The packet is lost while the agent is down; the sender retransmits it.
	_, _ = t.socket.WriteToUDPAddrPort(datagram, t.config.Outbound)
}

// handleRequests runs the requests of a flow: lines with an identifier and the size
// of the response in bytes.
func (t *Target) handleRequests(key flow.Key, data []byte) {
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
		t.stats.Requests++
		t.running.Go(func() { t.serveRequest(key, held, line) })
	}
}

// serveRequest waits for a slot, works for workTime and responds. A draining target
// closes the flow after the response.
func (t *Target) serveRequest(key flow.Key, held *targetFlow, line string) {
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
			if t.config.GaveUp != nil {
				t.config.GaveUp(key)
			}
		}
	}
}
