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
	// refusalMemory is how long an agent counts as not running after its VM has
	// refused a datagram, unless it announces itself anew. It is longer than the
	// pauses between a caller's retransmissions, each of which may reach another
	// balancer.
	refusalMemory = 30 * time.Second
	// refusalPoll is the time between two looks at the socket's error queue.
	refusalPoll = 20 * time.Millisecond
	// maxRefusals bounds the addresses in memory.
	maxRefusals = 8192
	// The layout of struct sock_extended_err of Linux, in bytes.
	extendedErrSize   = 16
	extendedErrOrigin = 4
	controlSize       = 512
)

// refusals notes the agents whose VM answers that no process listens at their
// data address. That is evidence of a dead process; a slow or paused one keeps
// its socket and refuses nothing.
type refusals struct {
	conn syscall.RawConn

	mu    sync.Mutex
	since map[netip.AddrPort]model.Instant
}

// newRefusals makes the kernel queue refusals on the socket.
func newRefusals(socket *net.UDPConn) (*refusals, error) {
	conn, err := socket.SyscallConn()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var failed error
	err = conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_RECVERR, 1)
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if failed != nil {
		return nil, Error.Wrap(failed)
	}
	return &refusals{conn: conn, since: map[netip.AddrPort]model.Instant{}}, nil
}

// collect reads the error queue until it is empty and reports whether the set of
// refusing addresses has changed.
func (r *refusals) collect(now model.Instant) bool {
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
		if _, known := r.since[addr]; !known {
			if len(r.since) >= maxRefusals {
				continue
			}
			changed = true
		}
		r.since[addr] = now
	}
	for addr, at := range r.since {
		if now.Sub(at) > refusalMemory {
			delete(r.since, addr)
			changed = true
		}
	}
	return changed
}

// forget drops what is known of an address whose agent has announced itself.
func (r *refusals) forget(addr netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.since, addr)
}

// addresses returns the addresses that have refused a datagram lately.
func (r *refusals) addresses() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.since))
}

// readRefusal reads one entry of the error queue. The address is invalid for an
// error of another kind.
func readRefusal(fd int) (netip.AddrPort, bool) {
	var data [1]byte
	var control [controlSize]byte
	_, n, _, from, err := unix.Recvmsg(fd, data[:], control[:], unix.MSG_ERRQUEUE|unix.MSG_DONTWAIT)
	if err != nil {
		return netip.AddrPort{}, false
	}
	inet, ok := from.(*unix.SockaddrInet4)
	if !ok || !isPortRefusal(control[:n]) {
		return netip.AddrPort{}, true
	}
	return netip.AddrPortFrom(netip.AddrFrom4(inet.Addr), uint16(inet.Port)), true
}

func isPortRefusal(control []byte) bool {
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
		number := binary.NativeEndian.Uint32(message.Data)
		fromICMP := message.Data[extendedErrOrigin] == unix.SO_EE_ORIGIN_ICMP
		return fromICMP && number == uint32(unix.ECONNREFUSED)
	}
	return false
}
