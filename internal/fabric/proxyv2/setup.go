// Package proxyv2 implements the fabric plug-in for fabrics that put a PROXY
// protocol version 2 header before each datagram.
package proxyv2

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"

	"github.com/balsamlink/balsamlink/internal/fabric"
	"github.com/balsamlink/balsamlink/internal/kernel"
)

// Name is the name by which the settings select the plug-in.
const Name = "proxyv2"

// socketBuffer is the size of the socket's buffers, in bytes.
const socketBuffer = 4 << 20

// Settings are the plug-in's settings.
type Settings struct {
	// Listen is the UDP address to which the fabric sends.
	Listen netip.AddrPort `json:"listen"`
	// Fabric lists the UDP addresses to which replies are sent and from which
	// datagrams are accepted.
	Fabric []netip.AddrPort `json:"fabric"`
}

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kernel.KindFabric,
		Name: Name,
		New:  func() kernel.Module { return &ProxyV2{} },
	})
}

// Provision implements kernel.Module.
func (p *ProxyV2) Provision(_ kernel.Env, settings json.RawMessage) error {
	return fabric.Error.Wrap(json.Unmarshal(settings, &p.settings))
}

// Validate implements kernel.Module.
func (p *ProxyV2) Validate() error {
	if !p.settings.Listen.IsValid() {
		return fabric.Error.New("listen: an IP address and port is required")
	}
	if len(p.settings.Fabric) == 0 {
		return fabric.Error.New("fabric: at least one address is required")
	}
	return nil
}

// Start implements kernel.Module.
func (p *ProxyV2) Start(context.Context) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.settings.Listen))
	if err != nil {
		return fabric.Error.Wrap(err)
	}
	socket.SetReadBuffer(socketBuffer)
	socket.SetWriteBuffer(socketBuffer)
	p.socket = socket
	p.trusted = map[netip.AddrPort]struct{}{}
	for _, addr := range p.settings.Fabric {
		p.trusted[addr] = struct{}{}
	}
	return nil
}

// Drain implements kernel.Module. Nothing needs to be done: the fabric stops
// sending once the process is not ready.
func (p *ProxyV2) Drain(context.Context) error { return nil }

// Stop implements kernel.Module. It may be called more than once.
func (p *ProxyV2) Stop() error {
	if p.socket == nil {
		return nil
	}
	err := p.socket.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fabric.Error.Wrap(err)
}
