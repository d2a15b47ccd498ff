// Package steering decides which agent gets a QUIC datagram. It does no I/O: a packet
// and an immutable table go in, a decision comes out. A flow is a QUIC connection of a
// caller.
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

// Error is the class of all errors of this package.
var Error = errs.Class("steering")

// ConnectionIDSize is the length of the connection IDs that agents issue, in bytes:
// one byte with the key number and one encrypted block.
const ConnectionIDSize = 1 + aes.BlockSize

// Location is the agent that issued a connection ID, with its zone and service.
type Location struct {
	// Agent is the agent's data address.
	Agent   netip.AddrPort
	Zone    model.ZoneTag
	Service model.ServiceTag
}

// The first byte of a connection ID holds the number of its key in the bits above the
// random bits.
const (
	keyNumberShift = 6
	randomMask     = 1<<keyNumberShift - 1
)

// Sealer encrypts locations into connection IDs and decrypts them. It encrypts with
// one key and decrypts with all. It is safe for concurrent use.
type Sealer struct {
	// ciphers is indexed by key number; nil where there is no key.
	ciphers [model.MaxKeyNumber + 1]cipher.Block
	// encryptKey is the number of the key that encrypts.
	encryptKey model.KeyNumber
}

// NewSealer returns a sealer that encrypts with the first key and decrypts with all.
func NewSealer(keys []model.SharedKey) (*Sealer, error) {
	if len(keys) == 0 {
		return nil, Error.New("no key for connection IDs")
	}
	sealer := &Sealer{encryptKey: keys[0].Number}
	for _, key := range keys {
		block, err := aes.NewCipher(key.Secret[:])
		if err != nil {
			return nil, Error.Wrap(err)
		}
		sealer.ciphers[key.Number] = block
	}
	return sealer, nil
}

// Seal writes a connection ID for a location into id. The counter makes the IDs of one
// agent unique; the lower bits of random become the random bits before the encrypted
// block. The agent's address must be an IPv4 address.
func (s *Sealer) Seal(id *[ConnectionIDSize]byte, location Location, counter uint32, random byte) error {
	if !location.Agent.Addr().Is4() {
		return Error.New("agent address %s is not an IPv4 address", location.Agent)
	}
	var plain [aes.BlockSize]byte
	ip := location.Agent.Addr().As4()
	copy(plain[0:4], ip[:])
	binary.BigEndian.PutUint16(plain[4:], location.Agent.Port())
	binary.BigEndian.PutUint16(plain[6:], uint16(location.Zone))
	binary.BigEndian.PutUint32(plain[8:], uint32(location.Service))
	binary.BigEndian.PutUint32(plain[12:], counter)
	id[0] = random&randomMask | byte(s.encryptKey)<<keyNumberShift
	s.ciphers[s.encryptKey].Encrypt(id[1:], plain[:])
	return nil
}

// Scratch is the buffer for decrypting one connection ID. Each goroutine that steers
// packets has its own, so that Open does not allocate.
type Scratch struct {
	plain [aes.BlockSize]byte
}

// Open decrypts the location in a connection ID. It reports false when the ID does not
// belong to the service: without the key, a valid ID can only be guessed, with a
// chance of one in 2^32 per attempt.
func (s *Sealer) Open(id []byte, service model.ServiceTag, scratch *Scratch) (Location, bool) {
	if len(id) != ConnectionIDSize {
		return Location{}, false
	}
	block := s.ciphers[id[0]>>keyNumberShift]
	if block == nil {
		return Location{}, false
	}
	plain := &scratch.plain
	block.Decrypt(plain[:], id[1:])
	if model.ServiceTag(binary.BigEndian.Uint32(plain[8:])) != service {
		return Location{}, false
	}
	location := Location{
		Agent:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(plain[0:4])), binary.BigEndian.Uint16(plain[4:])),
		Zone:    model.ZoneTag(binary.BigEndian.Uint16(plain[6:])),
		Service: service,
	}
	return location, true
}

// Issuer generates the connection IDs of one agent. It is safe for concurrent use.
type Issuer struct {
	sealer   *Sealer
	location Location
	// start is the value of the counter before the first ID.
	start   uint32
	counter atomic.Uint32
	random  func() byte
}

// NewIssuer returns an issuer for an agent. The counter starts at start; random
// returns the random bits of the first byte of each ID.
func NewIssuer(sealer *Sealer, location Location, start uint32, random func() byte) *Issuer {
	issuer := &Issuer{sealer: sealer, location: location, start: start, random: random}
	issuer.counter.Store(start)
	return issuer
}

// Next returns a connection ID that this issuer has not returned in its last 2^32
// calls.
func (i *Issuer) Next() ([ConnectionIDSize]byte, error) {
	var id [ConnectionIDSize]byte
	err := i.sealer.Seal(&id, i.location, i.counter.Add(1), i.random())
	return id, err
}

// Issued reports whether this issuer generated a connection ID. IDs of an earlier run
// of the agent at the same address are not its own.
func (i *Issuer) Issued(id []byte, scratch *Scratch) bool {
	location, valid := i.sealer.Open(id, i.location.Service, scratch)
	if !valid || location != i.location {
		return false
	}
	counter := binary.BigEndian.Uint32(scratch.plain[12:])
	// The differences are modulo 2^32, so the comparison holds when the counter wraps.
	return counter-i.start-1 < i.counter.Load()-i.start
}
