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

// Location is what a connection ID says of the agent that issued it.
type Location struct {
	Agent   netip.AddrPort
	Zone    model.ZoneTag
	Service model.ServiceTag
}

// The first octet of a connection ID holds the number of its key above random
// bits.
const (
	keyNumberShift = 6
	randomMask     = 1<<keyNumberShift - 1
)

// Sealer turns places into connection IDs and back. It seals with one key and
// opens with all. It is safe for concurrent use.
type Sealer struct {
	// blocks holds the keys by their numbers; nil where there is none.
	blocks [model.MaxKeyNumber + 1]cipher.Block
	number model.KeyNumber
}

// NewSealer makes a sealer that seals with the first key.
func NewSealer(keys []model.SharedKey) (*Sealer, error) {
	if len(keys) == 0 {
		return nil, Error.New("no key for connection IDs")
	}
	sealer := &Sealer{number: keys[0].Number}
	for _, key := range keys {
		block, err := aes.NewCipher(key.Secret[:])
		if err != nil {
			return nil, Error.Wrap(err)
		}
		sealer.blocks[key.Number] = block
	}
	return sealer, nil
}

// Seal writes a connection ID for a place into id. The counter makes the IDs of
// one agent differ from each other; first gives the random bits before the
// sealed block.
// The place's address must be an IPv4 address.
func (s *Sealer) Seal(id *[ConnectionIDSize]byte, place Location, counter uint32, first byte) error {
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
	id[0] = first&randomMask | byte(s.number)<<keyNumberShift
	s.blocks[s.number].Encrypt(id[1:], plain[:])
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
func (s *Sealer) Open(id []byte, service model.ServiceTag, scratch *Scratch) (Location, bool) {
	if len(id) != ConnectionIDSize {
		return Location{}, false
	}
	block := s.blocks[id[0]>>keyNumberShift]
	if block == nil {
		return Location{}, false
	}
	plain := &scratch.plain
	block.Decrypt(plain[:], id[1:])
	if model.ServiceTag(binary.BigEndian.Uint32(plain[8:])) != service {
		return Location{}, false
	}
	place := Location{
		Agent:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(plain[0:4])), binary.BigEndian.Uint16(plain[4:])),
		Zone:    model.ZoneTag(binary.BigEndian.Uint16(plain[6:])),
		Service: service,
	}
	return place, true
}

// Issuer makes the connection IDs of one agent. It is safe for concurrent use.
type Issuer struct {
	sealer *Sealer
	place  Location
	// start is the counter before the first ID.
	start   uint32
	counter atomic.Uint32
	random  func() byte
}

// NewIssuer makes an issuer for an agent. The counter starts at start; random
// gives the first octet of each ID.
func NewIssuer(sealer *Sealer, place Location, start uint32, random func() byte) *Issuer {
	issuer := &Issuer{sealer: sealer, place: place, start: start, random: random}
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

// Issued reports whether this issuer made a connection ID. It tells the IDs of
// an earlier start of the agent at the same address apart.
func (i *Issuer) Issued(id []byte, scratch *Scratch) bool {
	place, ours := i.sealer.Open(id, i.place.Service, scratch)
	if !ours || place != i.place {
		return false
	}
	counter := binary.BigEndian.Uint32(scratch.plain[12:])
	return counter-i.start-1 < i.counter.Load()-i.start
}
