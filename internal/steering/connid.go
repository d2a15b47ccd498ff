// Package steering decides which agent gets a datagram. It is pure: a packet
// and an immutable table go in, a decision comes out.
package steering

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"net/netip"
	"sync/atomic"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("steering")

// ConnectionIDSize is the length of the connection IDs that agents issue, in
// bytes: one octet for the key number and one sealed block.
const ConnectionIDSize = 1 + aes.BlockSize

// Place is what a connection ID says of the agent that issued it.
type Place struct {
	Agent   netip.AddrPort
	Zone    model.ZoneTag
	Service model.ServiceTag
}

// Sealer turns places into connection IDs and back with one key. It is safe for
// concurrent use.
type Sealer struct {
	block cipher.Block
}

// NewSealer makes a sealer of a 16-, 24- or 32-byte key.
func NewSealer(key []byte) (*Sealer, error) {
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Sealer{block: block}, nil
}

// Seal writes a connection ID for a place into id. The counter makes the IDs of
// one agent differ from each other; first is the octet before the sealed block.
// The place's address must be an IPv4 address.
func (s *Sealer) Seal(id *[ConnectionIDSize]byte, place Place, counter uint32, first byte) error {
	if !place.Agent.Addr().Is4() {
		return Error.New("agent address %s is not an IPv4 address", place.Agent)
	}
	var plain [aes.BlockSize]byte
	ip := place.Agent.Addr().As4()
	copy(plain[0:4], ip[:])
	binary.BigEndian.PutUint16(plain[4:], place.Agent.Port())
	binary.BigEndian.PutUint16(plain[6:], uint16(place.Zone))
	binary.BigEndian.PutUint32(plain[8:], uint32(place.Service))
	binary.BigEndian.PutUint32(plain[12:], counter)
	id[0] = first
	s.block.Encrypt(id[1:], plain[:])
	return nil
}

// Scratch is the memory for opening one connection ID. Each goroutine that
// steers packets keeps its own, so that opening allocates nothing.
type Scratch struct {
	plain [aes.BlockSize]byte
}

// Open reads the place in a connection ID. It reports false when the ID does
// not belong to the service: nobody without the key can make one that does,
// except by chance once in 2^32 tries.
func (s *Sealer) Open(id []byte, service model.ServiceTag, scratch *Scratch) (Place, bool) {
	if len(id) != ConnectionIDSize {
		return Place{}, false
	}
	plain := &scratch.plain
	s.block.Decrypt(plain[:], id[1:])
	if model.ServiceTag(binary.BigEndian.Uint32(plain[8:])) != service {
		return Place{}, false
	}
	place := Place{
		Agent:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(plain[0:4])), binary.BigEndian.Uint16(plain[4:])),
		Zone:    model.ZoneTag(binary.BigEndian.Uint16(plain[6:])),
		Service: service,
	}
	return place, true
}

// Issuer makes the connection IDs of one agent. It is safe for concurrent use.
type Issuer struct {
	sealer  *Sealer
	place   Place
	counter atomic.Uint32
	random  func() byte
}

// NewIssuer makes an issuer for an agent. The counter starts at start; random
// gives the first octet of each ID.
func NewIssuer(sealer *Sealer, place Place, start uint32, random func() byte) *Issuer {
	issuer := &Issuer{sealer: sealer, place: place, random: random}
	issuer.counter.Store(start)
	return issuer
}

// Next returns a connection ID that this issuer has not returned in its last
// 2^32 calls.
func (i *Issuer) Next() ([ConnectionIDSize]byte, error) {
	var id [ConnectionIDSize]byte
	err := i.sealer.Seal(&id, i.place, i.counter.Add(1), i.random())
	return id, err
}
