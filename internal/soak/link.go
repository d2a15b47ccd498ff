package soak

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// linkMode is how a link treats connections.
type linkMode int32

const (
	linkOpen linkMode = iota
	// linkSlow delays each read.
	linkSlow
	// linkReset closes the open connections and resets new ones.
	linkReset
	// linkSilent forwards nothing.
	linkSilent
	// linkRequestsOnly forwards requests but no responses.
	linkRequestsOnly
	// linkModeCount is the number of modes.
	linkModeCount
)

const (
	// linkDelay is the delay of each read of a slow link.
	linkDelay = 60 * time.Millisecond
	// linkBuffer is the size, in bytes, of each direction's read buffer.
	linkBuffer = 4096
)

// link is a TCP proxy on loopback between one node and the store that can disturb
// its connections.
type link struct {
	listener net.Listener
	store    netip.AddrPort
	// mode is a linkMode.
	mode    atomic.Int32
	running sync.WaitGroup
	mu      sync.Mutex
	// connections holds the open connections of both sides.
	connections map[net.Conn]bool
}

// newLink starts a link that accepts connections at an address.
func newLink(address, store netip.AddrPort) (*link, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, store: store, connections: map[net.Conn]bool{}}
	l.running.Go(l.accept)
	return l, nil
}

// set changes the mode, also for open connections.
func (l *link) set(mode linkMode) {
	l.mode.Store(int32(mode))
	if mode == linkReset {
		l.closeAll()
	}
}

func (l *link) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for connection := range l.connections {
		connection.Close()
	}
}

func (l *link) close() {
	l.listener.Close()
	l.closeAll()
	l.running.Wait()
}

func (l *link) accept() {
	for {
		connection, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || linkMode(l.mode.Load()) == linkReset {
			abort(connection)
			continue
		}
		store, err := net.Dial("tcp4", l.store.String())
		if err != nil {
			abort(connection)
			continue
		}
		l.mu.Lock()
		l.connections[connection], l.connections[store] = true, true
		l.mu.Unlock()
		l.running.Go(func() { l.forward(store, connection, linkSilent) })
		l.running.Go(func() { l.forward(connection, store, linkRequestsOnly) })
	}
}

// abort closes a connection with a reset.
func abort(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		tcp.SetLinger(0)
		tcp.Close()
	}
}

// forward copies one direction of a connection. While the link is silent or in the
// mode discardMode, it discards what it reads.
func (l *link) forward(to io.WriteCloser, from net.Conn, discardMode linkMode) {
	defer to.Close()
	defer func() {
		l.mu.Lock()
		delete(l.connections, from)
		l.mu.Unlock()
	}()
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch mode := linkMode(l.mode.Load()); mode {
		case linkSilent, discardMode:
			continue
		case linkSlow:
			time.Sleep(linkDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
