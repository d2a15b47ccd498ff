package targetgate_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

const (
	feed  = model.Service("feed")
	files = model.Service("files")
	zone  = model.Zone("a")
)

var (
	feedAddress    = endpoint("198.18.0.1:443")
	bookingAddress = endpoint("198.18.0.1:80")
	filesAddress   = endpoint("198.18.0.2:443")
	targetAddress  = netip.MustParseAddrPort("10.0.0.9:8080")
	balancer       = netip.MustParseAddr("10.0.0.1")
	start          = model.Instant(time.Hour)
)

func endpoint(text string) flow.Endpoint { return flow.EndpointOf(netip.MustParseAddrPort(text)) }

func key(n int, service flow.Endpoint) flow.Key {
	return flow.Key{Client: flow.Endpoint{IP: [4]byte{100, 64, byte(n >> 8), byte(n)}, Port: 40000}, Service: service}
}

// bench is a door whose time and target tests drive.
type bench struct {
	t        *testing.T
	door     *targetgate.Gate
	now      model.Instant
	state    *routing.State
	sequence uint64
	// next is the sequence number that each client sends next.
	next map[flow.Key]uint32
}

func newBench(t *testing.T) *bench {
	return &bench{
		t: t,
		door: targetgate.New(targetgate.Config{
			Service: feed, Zone: zone, Address: targetAddress, Heartbeat: time.Second, ColdFactor: 1.5, ColdSlack: 5, MaxFlows: 1000,
		}, start),
		now:  start,
		next: map[flow.Key]uint32{},
		state: &routing.State{ZonesOut: map[model.Zone]bool{}, Config: &routing.Config{
			Routes: map[flow.Endpoint]*routing.Route{
				feedAddress:    {Priority: 2, Services: []routing.WeightedService{{Service: feed, Weight: 9}, {Service: files, Weight: 1}}},
				bookingAddress: {Priority: 1, Services: []routing.WeightedService{{Service: feed, Weight: 1}}},
				filesAddress:   {Priority: 2, Services: []routing.WeightedService{{Service: files, Weight: 1}}},
			},
			Services: map[model.Service]*routing.Service{feed: {}},
		}},
	}
}

func (b *bench) announcement() targetgate.Announcement {
	b.sequence++
	return targetgate.Announcement{
		ID: "i-1", Incarnation: 1000, Sequence: b.sequence, Service: feed, Address: targetAddress, Zone: zone, Slots: 4, Age: time.Minute,
	}
}

func (b *bench) announce(change func(*targetgate.Announcement)) error {
	a := b.announcement()
	if change != nil {
		change(&a)
	}
	_, err := b.door.Announce(b.now, a)
	return err
}

func (b *bench) open(key flow.Key) targetgate.Reason {
	return b.door.Open(b.now, b.state, targetgate.Opening{Key: key, Balancer: balancer})
}

// admit returns the flows that enter now.
func (b *bench) admit() []flow.Key {
	var keys []flow.Key
	for _, opening := range b.door.Admit(b.now, b.state) {
		keys = append(keys, opening.Key)
	}
	return keys
}

// enter opens a flow and lets it in.
func (b *bench) enter(key flow.Key) {
	require.Equal(b.t, targetgate.ReasonNone, b.open(key))
	require.Equal(b.t, []flow.Key{key}, b.admit())
}

func (b *bench) request(key flow.Key) targetgate.Delivery {
	delivery := b.repeat(key)
	b.next[key] += 100
	return delivery
}

// repeat sends the client's next request without moving on, as a client does
// that hears nothing.
func (b *bench) repeat(key flow.Key) targetgate.Delivery {
	p := flow.Packet{Source: key.Client, Destination: key.Service, Flags: flow.Ack, Sequence: b.next[key], Acknowledged: 7, Length: 100}
	return b.door.ClientPacket(b.now, p, balancer, false)
}

func (b *bench) answer(key flow.Key, flags flow.Flags, length int) bool {
	return b.door.TargetPacket(b.now, flow.Packet{Source: key.Service, Destination: key.Client, Flags: flags, Length: length}).Notify
}

func TestNewFlowsAreCheckedAgainstTheOperatorsState(t *testing.T) {
	b := newBench(t)
	require.NoError(t, b.announce(nil))
	require.Equal(t, targetgate.ReasonNone, b.open(key(1, feedAddress)))
	require.Equal(t, targetgate.ReasonOtherService, b.open(key(2, filesAddress)))
	require.Equal(t, targetgate.ReasonNoRoute, b.open(key(3, endpoint("198.18.0.9:1"))))
	b.state.ZonesOut[zone] = true
	require.Equal(t, targetgate.ReasonZoneOut, b.open(key(4, feedAddress)))
	require.Empty(t, b.admit(), "a flow that waits is checked again")
	b.state = nil
	require.Equal(t, targetgate.ReasonNoState, b.open(key(5, feedAddress)))
}

func TestOnlyTheTargetOfTheAgentIsHeard(t *testing.T) {
	b := newBench(t)
	require.Equal(t, targetgate.ReasonNoTarget, b.open(key(1, feedAddress)))
	require.ErrorIs(t, b.announce(func(a *targetgate.Announcement) { a.Service = files }), targetgate.ErrWrongTarget)
	require.ErrorIs(t, b.announce(func(a *targetgate.Announcement) { a.Address = netip.MustParseAddrPort("10.0.0.8:8080") }), targetgate.ErrWrongTarget)
	require.NoError(t, b.announce(nil))
	require.ErrorIs(t, b.announce(func(a *targetgate.Announcement) { a.Sequence = 1 }), targetgate.ErrStale)
	require.ErrorIs(t, b.announce(func(a *targetgate.Announcement) { a.Incarnation = 999 }), targetgate.ErrStale)
	require.NoError(t, b.announce(func(a *targetgate.Announcement) { a.Incarnation, a.Sequence = 1001, 1 }), "counts start anew")
	require.ErrorIs(t, b.announce(nil), targetgate.ErrStale, "a late heartbeat of the former incarnation")
}

func TestTargetThatLeavesGetsNothingNew(t *testing.T) {
	b := newBench(t)
	require.NoError(t, b.announce(nil))
	b.enter(key(1, feedAddress))
	require.NoError(t, b.announce(func(a *targetgate.Announcement) { a.Draining = true }))
	require.Equal(t, targetgate.ReasonLeaving, b.open(key(2, feedAddress)))
	require.Equal(t, targetgate.Deliver, b.request(key(1, feedAddress)), "open flows go on")
	require.ErrorIs(t, b.door.Depart(targetgate.Departure{ID: "i-0"}), targetgate.ErrStale)
	require.NoError(t, b.door.Depart(targetgate.Departure{ID: "i-1", Incarnation: 1000}))
	require.Equal(t, targetgate.ResetFlow, b.request(key(1, feedAddress)))
	require.ErrorIs(t, b.announce(nil), targetgate.ErrStale, "a late heartbeat does not bring it back")
}

func TestTargetThatMissesHeartbeatsGetsNothingNew(t *testing.T) {
	b := newBench(t)
	require.NoError(t, b.announce(nil))
	b.now = b.now.Add(2900 * time.Millisecond)
	require.Equal(t, targetgate.ReasonNone, b.open(key(1, feedAddress)))
	b.now = b.now.Add(200 * time.Millisecond)
	require.Equal(t, targetgate.ReasonNoTarget, b.open(key(2, feedAddress)))
}

// At every second that slides, a cold target gets 1.5 times its rate plus 5 new
// flows at most, also when its agent has just restarted and knows nothing.
func TestColdTargetIsSpared(t *testing.T) {
	for _, rate := range []float64{0, 2, 10} {
		for _, restarted := range []bool{false, true} {
			b := newBench(t)
			b.state.Config.Services[feed].WarmUpRate = rate
			if restarted {
				b.door.RecordProbe(b.now, "i-1", true)
			} else {
				require.NoError(t, b.announce(func(a *targetgate.Announcement) { a.WarmUpRemaining = 3 * time.Second }))
			}
			var entered []model.Instant
			for n := range 2900 {
				b.now = b.now.Add(time.Millisecond)
				b.open(key(n, feedAddress))
				for _, key := range b.admit() {
					entered = append(entered, b.now)
					b.request(key)
					b.answer(key, flow.Ack, 100)
				}
			}
			limit := int(1.5*rate + 5)
			require.GreaterOrEqual(t, len(entered), 2*limit, "rate %v", rate)
			for i := range entered[limit:] {
				require.Greater(t, entered[i+limit].Sub(entered[i]), time.Second, "rate %v", rate)
			}
		}
	}
}

func TestMoreImportantFlowsEnterFirstAndThenTheNewest(t *testing.T) {
	b := newBench(t)
	require.NoError(t, b.announce(func(a *targetgate.Announcement) { a.WarmUpRemaining = 5 * time.Second }))
	for n := range 5 {
		b.enter(key(n, feedAddress))
	}
	for n := range 5 {
		service := feedAddress
		if n == 2 {
			service = bookingAddress
		}
		b.now = b.now.Add(10 * time.Millisecond)
		require.Equal(t, targetgate.ReasonNone, b.open(key(10+n, service)))
	}
	require.Equal(t, targetgate.ReasonCold, b.open(key(20, feedAddress)), "more would wait in vain")
	require.Empty(t, b.admit())
	b.now = b.now.Add(1060 * time.Millisecond)
	require.Equal(t, []flow.Key{key(12, bookingAddress), key(14, feedAddress)}, b.admit()[:2])
}

func TestFlowsWaitOnlyAsLongAsTheirClients(t *testing.T) {
	b := newBench(t)
	require.NoError(t, b.announce(nil))
	for n := range 8 {
		b.enter(key(n, feedAddress))
		b.request(key(n, feedAddress))
	}
	require.Equal(t, targetgate.ReasonNone, b.open(key(20, feedAddress)))
	require.Empty(t, b.admit(), "8 requests at 4 slots")
	b.answer(key(0, feedAddress), flow.Ack, 100)
	require.Equal(t, []flow.Key{key(20, feedAddress)}, b.admit())
	b.request(key(20, feedAddress))
	require.Equal(t, targetgate.ReasonNone, b.open(key(21, feedAddress)))
	b.now = b.now.Add(1400 * time.Millisecond)
	b.answer(key(1, feedAddress), flow.Ack, 100)
	require.Empty(t, b.admit(), "its client has given up")
	require.Zero(t, b.door.AdmissionState(b.now).Waiting)
}

// Flows whose clients never send a request, and requests that clients repeat
// after they were answered, must not count as load for good.
func TestLoadIsNotCountedForGood(t *testing.T) {
	b := newBench(t)
	require.NoError(t, b.announce(nil))
	for n := range 8 {
		b.enter(key(n, feedAddress))
	}
	require.Equal(t, targetgate.ReasonNone, b.open(key(20, feedAddress)))
	require.Empty(t, b.admit(), "8 requests are about to come")
	b.now = b.now.Add(400 * time.Millisecond)
	require.Equal(t, []flow.Key{key(20, feedAddress)}, b.admit(), "they have not come")

	b = newBench(t)
	require.NoError(t, b.announce(nil))
	for n := range 8 {
		b.enter(key(n, feedAddress))
		b.request(key(n, feedAddress))
		b.answer(key(n, feedAddress), flow.Ack, 100)
		b.next[key(n, feedAddress)] -= 100
		b.repeat(key(n, feedAddress))
	}
	require.Zero(t, b.door.Load().ActiveFlows)

	b.enter(key(30, feedAddress))
	b.request(key(30, feedAddress))
	b.answer(key(30, feedAddress), flow.Ack|flow.End, 0)
	require.Zero(t, b.door.Load().ActiveFlows, "a target that closes a flow without an answer owes none")
}

func TestFlowsOfAnEndedIncarnationAreLost(t *testing.T) {
	ends := map[string]func(b *bench){
		"later start": func(b *bench) {
			restarted, err := b.door.Announce(b.now, targetgate.Announcement{ID: "i-2", Incarnation: 2000, Sequence: 1, Service: feed, Address: targetAddress})
			require.NoError(b.t, err)
			require.True(b.t, restarted)
		},
		"nobody listens": func(b *bench) { require.True(b.t, b.door.MarkEnded()) },
		"departed":       func(b *bench) { require.NoError(b.t, b.door.Depart(targetgate.Departure{ID: "i-1"})) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			// The first two flows are seen before the agent has heard of the target.
			for n := range 2 {
				require.False(t, b.answer(key(n, feedAddress), flow.Open|flow.Ack, 0), "the target's consent is no open flow")
				require.True(t, b.answer(key(n, feedAddress), flow.Ack, 100))
			}
			require.NoError(t, b.announce(nil))
			b.enter(key(2, feedAddress))
			b.request(key(2, feedAddress))
			b.answer(key(1, feedAddress), flow.Ack|flow.End, 100)
			require.Empty(t, b.door.RemoveOrphaned(b.now, 0))
			end(b)
			lost := map[flow.Key]uint32{}
			for _, loss := range b.door.RemoveOrphaned(b.now, 0) {
				lost[loss.Key] = loss.Sequence
			}
			require.Equal(t, map[flow.Key]uint32{key(0, feedAddress): 0, key(2, feedAddress): 7}, lost,
				"the flow that the target had closed itself is left alone")
			require.Zero(t, b.door.Load().Flows)
		})
	}
}

// The last answers of a target that has departed may still be on their way; its
// idle flows are given up at once, before their clients use them in vain.
func TestLastAnswersOfADepartedTargetArrive(t *testing.T) {
	b := newBench(t)
	require.NoError(t, b.announce(nil))
	b.enter(key(1, feedAddress))
	b.enter(key(2, feedAddress))
	for n := 1; n <= 2; n++ {
		b.request(key(n, feedAddress))
		b.answer(key(n, feedAddress), flow.Ack, 100)
		b.now = b.now.Add(200 * time.Millisecond)
	}
	require.NoError(t, b.door.Depart(targetgate.Departure{ID: "i-1"}))
	losses := b.door.RemoveOrphaned(b.now, 250*time.Millisecond)
	require.Len(t, losses, 1)
	require.Equal(t, key(1, feedAddress), losses[0].Key)
	b.now = b.now.Add(50 * time.Millisecond)
	require.Len(t, b.door.RemoveOrphaned(b.now, 250*time.Millisecond), 1)
}

// An agent that has started with its target knows from the first heartbeat that
// no flow came before it; one that has restarted beside a living target does not.
func TestAgentKnowsWhetherItsTargetHasJustStarted(t *testing.T) {
	tests := map[string]struct {
		sequence uint64
		age      time.Duration
		holding  targetgate.LookupResult
	}{
		"first heartbeat":                           {1, 30 * time.Millisecond, targetgate.Absent},
		"the first one failed":                      {2, 60 * time.Millisecond, targetgate.Absent},
		"an earlier agent may have taken the first": {2, time.Second, targetgate.Uncertain},
		"the clock was set back":                    {2, -time.Hour, targetgate.Uncertain},
		"several failed":                            {3, 60 * time.Millisecond, targetgate.Absent},
		"later heartbeats":                          {70, 60 * time.Millisecond, targetgate.Uncertain},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			require.Equal(t, targetgate.Uncertain, b.door.Lookup(key(1, feedAddress)), "no heartbeat yet")
			require.NoError(t, b.announce(func(a *targetgate.Announcement) { a.Sequence, a.Age = test.sequence, test.age }))
			require.Equal(t, test.holding, b.door.Lookup(key(1, feedAddress)))
			require.Equal(t, targetgate.Uncertain, b.enterAndAsk(key(2, feedAddress)), "its client may not have opened it")
			b.answer(key(2, feedAddress), flow.Ack, 10)
			require.Equal(t, targetgate.Held, b.door.Lookup(key(2, feedAddress)))
			require.NoError(t, b.announce(func(a *targetgate.Announcement) { a.Incarnation, a.Sequence = 2000, 9 }))
			require.Equal(t, targetgate.Absent, b.door.Lookup(key(2, feedAddress)), "its incarnation has ended")
			require.Equal(t, targetgate.Absent, b.door.Lookup(key(1, feedAddress)), "the new incarnation's whole life was seen")
		})
	}
}

// A target that starts after its VM's clock was set back seems older than the one
// before it. It is taken once that one has ended or is silent.
func TestTargetIsTakenAfterItsClockWasSetBack(t *testing.T) {
	ends := map[string]func(b *bench){
		"departed": func(b *bench) { require.NoError(t, b.door.Depart(targetgate.Departure{ID: "i-1"})) },
		"lost":     func(b *bench) { b.door.MarkEnded() },
		"silent":   func(b *bench) { b.now = b.now.Add(3100 * time.Millisecond) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			require.NoError(t, b.announce(nil))
			b.enter(key(1, feedAddress))
			b.request(key(1, feedAddress))
			back := func(a *targetgate.Announcement) { a.ID, a.Incarnation, a.Sequence = "i-2", 500, 1 }
			require.ErrorIs(t, b.announce(back), targetgate.ErrStale, "the known target may live")
			require.False(t, b.door.Ready(b.now), "a new flow might open at either")
			require.NoError(t, b.announce(func(a *targetgate.Announcement) { a.Sequence += 10 }))
			require.True(t, b.door.Ready(b.now), "it does: the other heartbeat was late")
			b.sequence += 10
			end(b)
			require.NoError(t, b.announce(back))
			require.True(t, b.door.Ready(b.now))
			require.Len(t, b.door.RemoveOrphaned(b.now, 0), 1, "it knows no flow of the one before")
		})
	}
}

// Copies of an opening packet may enter at two targets. The one whose consent the
// client has not acknowledged says nothing when its target ends.
func TestFlowThatMayHaveOpenedElsewhereIsNotReset(t *testing.T) {
	b := newBench(t)
	require.NoError(t, b.announce(nil))
	for n := 1; n <= 2; n++ {
		b.enter(key(n, feedAddress))
		require.False(t, b.answer(key(n, feedAddress), flow.Open|flow.Ack, 0))
	}
	b.request(key(2, feedAddress))
	require.NoError(t, b.announce(func(a *targetgate.Announcement) { a.Incarnation, a.Sequence = 2000, 1 }))
	losses := b.door.RemoveOrphaned(b.now, 0)
	require.Len(t, losses, 1)
	require.Equal(t, key(2, feedAddress), losses[0].Key)
	require.Zero(t, b.door.Load().Flows)
}

func (b *bench) enterAndAsk(key flow.Key) targetgate.LookupResult {
	b.enter(key)
	return b.door.Lookup(key)
}

func TestAgentDeniesOnlyWhatItKnows(t *testing.T) {
	b := newBench(t)
	b.sequence = 5
	p := flow.Packet{Source: key(1, feedAddress).Client, Destination: feedAddress, Flags: flow.Ack}
	require.Equal(t, targetgate.Probe, b.door.ClientPacket(b.now, p, balancer, true), "it has restarted beside a target that may hold the flow")
	require.NoError(t, b.announce(nil))
	require.Equal(t, targetgate.Probe, b.door.ClientPacket(b.now, p, balancer, true))
	b.now = b.now.Add(20 * time.Second)
	b.door.Expire(b.now, 15*time.Second)
	require.Equal(t, targetgate.ReturnPacket, b.door.ClientPacket(b.now, p, balancer, true), "each flow would have been seen by now")
	require.Equal(t, targetgate.Probe, b.door.ClientPacket(b.now, p, balancer, false), "the balancer says that it is here")
	require.True(t, b.answer(key(1, feedAddress), flow.Ack, 10), "the balancers are told")
	require.False(t, b.answer(key(1, feedAddress), flow.Ack, 10), "once")
	require.Equal(t, targetgate.Deliver, b.door.ClientPacket(b.now, p, balancer, true))
	b.door.PacketReturned(key(1, feedAddress))
	require.Equal(t, targetgate.ReturnPacket, b.door.ClientPacket(b.now, p, balancer, true))
}

func TestFlowsExpire(t *testing.T) {
	b := newBench(t)
	require.NoError(t, b.announce(nil))
	for n := range 3 {
		b.enter(key(n, feedAddress))
	}
	b.request(key(1, feedAddress))
	b.answer(key(1, feedAddress), flow.Ack, 10)
	b.request(key(2, feedAddress))
	b.answer(key(2, feedAddress), flow.Ack|flow.End, 10)
	end := flow.Packet{Source: key(2, feedAddress).Client, Destination: feedAddress, Flags: flow.End | flow.Ack}
	require.Equal(t, targetgate.Deliver, b.door.ClientPacket(b.now, end, balancer, false))
	b.now = b.now.Add(2500 * time.Millisecond)
	b.door.Expire(b.now, 15*time.Second)
	require.Equal(t, 1, b.door.Load().Flows, "the flow that never opened and the closed one are gone")
	b.now = b.now.Add(15 * time.Second)
	b.door.Expire(b.now, 15*time.Second)
	require.Zero(t, b.door.Load().Flows)
}
