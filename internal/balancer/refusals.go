package balancer

import (
	"encoding/binary"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// refusalLifetime is how long an agent counts as not running after its VM has
	// refused a datagram, unless the agent publishes a new record. It is longer
	// than the interval between a caller's retransmissions, each of which may
	// reach another balancer.
	refusalLifetime = 30 * time.Second
	// refusalPollInterval is the interval between two reads of the socket's error
	// queue.
	refusalPollInterval = 20 * time.Millisecond
	// maxRefusals is the maximum number of recorded addresses.
	maxRefusals = 8192
	// The layout of the Linux struct sock_extended_err, in bytes.
	extendedErrSize         = 16
	extendedErrOriginOffset = 4
	// controlBufferSize is the size of the buffer for the control messages of one entry
	// of the error queue, in bytes.
	controlBufferSize = 512
)

// refusalTracker records the agents whose VM reports that no process listens at
// their data address (ICMP port unreachable). That is evidence of an exited
// process: a slow or paused one keeps its socket and causes no refusal.
type refusalTracker struct {
	// conn is the data socket.
	conn syscall.RawConn

	mu sync.Mutex
	// lastRefused holds the time at which the latest refusal of each address was read.
	lastRefused map[netip.AddrPort]model.Instant
}

// newRefusalTracker enables the error queue of the socket, from which collect
// reads the refusals.
func newRefusalTracker(socket *net.UDPConn) (*refusalTracker, error) {
	conn, err := socket.SyscallConn()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var optionErr error
	err = conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_RECVERR, 1)
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if optionErr != nil {
		return nil, Error.Wrap(optionErr)
	}
	return &refusalTracker{conn: conn, lastRefused: map[netip.AddrPort]model.Instant{}}, nil
}

// collect reads the error queue until it is empty, expires old refusals and
// reports whether the set of refusing addresses has changed.
func (r *refusalTracker) collect(now model.Instant) bool {
	var refused []netip.AddrPort
	r.conn.Control(func(fd uintptr) {
		for {
			addr, more := readRefusal(int(fd))
			if !more {
				return
			}
			if addr.IsValid() {
				refused = append(refused, addr)
			}
		}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, addr := range refused {
		if _, known := r.lastRefused[addr]; !known {
			if len(r.lastRefused) >= maxRefusals {
				continue
			}
			changed = true
		}
		r.lastRefused[addr] = now
	}
	for addr, at := range r.lastRefused {
		if now.Sub(at) > refusalLifetime {
			delete(r.lastRefused, addr)
			changed = true
		}
	}
	return changed
}

// remove deletes the refusal of an address whose agent has published a new
// record.
func (r *refusalTracker) remove(addr netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.lastRefused, addr)
}

// addresses returns the addresses that have refused a datagram within
// refusalLifetime.
func (r *refusalTracker) addresses() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.lastRefused))
}

// readRefusal reads one entry of the error queue and reports whether there was
// one. The address is invalid if the entry is not a refusal.
func readRefusal(fd int) (netip.AddrPort, bool) {
	var data [1]byte
	var control [controlBufferSize]byte
	_, n, _, from, err := unix.Recvmsg(fd, data[:], control[:], unix.MSG_ERRQUEUE|unix.MSG_DONTWAIT)
	if err != nil {
		return netip.AddrPort{}, false
	}
	inet, ok := from.(*unix.SockaddrInet4)
	if !ok || !isPortUnreachable(control[:n]) {
		return netip.AddrPort{}, true
	}
	return netip.AddrPortFrom(netip.AddrFrom4(inet.Addr), uint16(inet.Port)), true
}

// isPortUnreachable reports whether the control messages of an entry of the error queue
// describe an ICMP port unreachable message, for which Linux sets ECONNREFUSED.
func isPortUnreachable(control []byte) bool {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return false
	}
	for _, message := range messages {
		if message.Header.Level != unix.IPPROTO_IP || message.Header.Type != unix.IP_RECVERR {
			continue
		}
		if len(message.Data) < extendedErrSize {
			continue
		}
		errno := binary.NativeEndian.Uint32(message.Data)
		isICMP := message.Data[extendedErrOriginOffset] == unix.SO_EE_ORIGIN_ICMP
		return isICMP && errno == uint32(unix.ECONNREFUSED)
	}
	return false
}
