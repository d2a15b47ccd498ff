// Package wire is the format of the datagrams between balancers and agents: a
// msgpack header, a message authentication code over the header, and the
// caller's datagram as it came.
package wire

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"hash"
	"io"
	"net/netip"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("wire")

// The errors of decoding, wrapped in Error.
var (
	// ErrMalformed tells that the datagram does not have this format.
	ErrMalformed = errs.New("malformed datagram")
	// ErrForged tells that the authentication code is wrong.
	ErrForged = errs.New("datagram is not authentic")
)

// MaxPayload is the largest datagram of a caller, in bytes. With the header it
// fits an Ethernet frame, so a caller's path MTU probe above it gets no answer
// and the caller settles below.
const MaxPayload = 1368

// MaxHeader is the largest encoded header with its code, in bytes.
const MaxHeader = 104

// MaxDatagram is the largest datagram between balancers and agents, in bytes.
const MaxDatagram = MaxPayload + MaxHeader

const (
	version      = 1
	versionBits  = 4
	versionMask  = 1<<versionBits - 1
	headerFields = 10
	codeSize     = 16
	addrSize     = 18
)

// Kind tells what a datagram asks of its receiver.
type Kind uint8

// The kinds of datagrams.
const (
	// KindEstablished carries a packet of a flow that the agent issued the
	// connection ID of.
	KindEstablished Kind = 1
	// KindNewFlow carries a packet of a new flow; the alternate may take it.
	KindNewFlow Kind = 2
	// KindHandedOver carries a packet of a new flow from an agent to the alternate,
	// which takes it or hands it back.
	KindHandedOver Kind = 3
	// KindHandedBack carries a packet of a new flow that was handed back; it must be
	// taken or dropped.
	KindHandedBack Kind = 4
	// KindOrphaned carries a packet of a flow whose agent is gone; the receiver
	// answers it with a stateless reset.
	KindOrphaned Kind = 5
	// KindReply carries a packet from an agent to a caller.
	KindReply Kind = 6
	// KindCount is one more than the largest kind.
	KindCount = 7
)

// String returns the name of the kind used in metrics.
func (k Kind) String() string {
	names := [KindCount]string{"invalid", "established", "first", "handed", "final", "gone", "answer"}
	if k.Valid() {
		return names[k]
	}
	return names[0]
}

// Valid reports whether the kind is one of those above.
func (k Kind) Valid() bool { return k >= KindEstablished && k < KindCount }

// NewFlow reports whether the kind carries a packet of a new flow.
func (k Kind) NewFlow() bool { return k == KindNewFlow || k == KindHandedOver || k == KindHandedBack }

// Header is what a balancer or an agent says about a caller's packet.
type Header struct {
	Kind    Kind
	Service model.ServiceTag
	// Caller is the address that the packet came from or goes to.
	Caller netip.AddrPort
	// Alternate is the data address of the agent that may take a new flow in
	// place of the receiver; invalid when there is none.
	Alternate netip.AddrPort
	// Via is the data address of the balancer that a handed packet came
	// through; invalid when the sender is that balancer.
	Via netip.AddrPort
	// Load is the sender's load, in thousandths of its capacity, when an agent
	// hands a new flow to the alternate.
	Load uint16
	// Revision is the sender's revision of the document of what is out.
	Revision model.Revision
	// Zone is the zone of the sender.
	Zone model.ZoneTag
}

// Codec encodes and decodes datagrams. It reuses its buffers and
// is not safe for concurrent use; each traffic goroutine has its own.
type Codec struct {
	// macs holds the keys by their numbers; nil where there is none.
	macs [model.MaxKeyNumber + 1]hash.Hash
	// number is that of the key to encode with, decoded that of the datagram
	// that was decoded last.
	number  model.KeyNumber
	decoded model.KeyNumber
	sum     []byte
	out     bytes.Buffer
	encoder *msgpack.Encoder
	in      bytes.Reader
	decoder *msgpack.Decoder
	addr    [addrSize]byte
}

// NewCodec makes a codec for the deployment's datagram keys, of which there is
// at least one. It encodes with the first and decodes with all; the datagram
// carries the number of its key.
func NewCodec(keys []model.SharedKey) *Codec {
	c := &Codec{sum: make([]byte, 0, sha256.Size), number: keys[0].Number}
	for _, key := range keys {
		c.macs[key.Number] = hmac.New(sha256.New, key.Secret[:])
	}
	c.encoder = msgpack.NewEncoder(&c.out)
	c.encoder.UseCompactInts(true)
	c.decoder = msgpack.NewDecoder(&c.in)
	return c
}

// Encode returns the datagram for a header and a payload. The result is valid
// until the next call.
func (c *Codec) Encode(header Header, payload []byte) ([]byte, error) {
	if len(payload) > MaxPayload {
		return nil, Error.New("payload of %d bytes exceeds %d", len(payload), MaxPayload)
	}
	c.out.Reset()
	if err := c.encodeHeader(header, len(payload)); err != nil {
		return nil, Error.Wrap(err)
	}
	code := c.code(c.number, c.out.Bytes())
	c.out.Write(code)
	c.out.Write(payload)
	return c.out.Bytes(), nil
}

// Decode checks a datagram and returns its header and payload. The payload is a
// part of the datagram.
func (c *Codec) Decode(datagram []byte) (Header, []byte, error) {
	c.in.Reset(datagram)
	c.decoder.Reset(&c.in)
	header, size, err := c.decodeHeader()
	if err != nil {
		return Header{}, nil, Error.Wrap(ErrMalformed)
	}
	end := len(datagram) - c.in.Len()
	if c.in.Len() != codeSize+size {
		return Header{}, nil, Error.Wrap(ErrMalformed)
	}
	if c.macs[c.decoded] == nil {
		return Header{}, nil, Error.Wrap(ErrForged)
	}
	code := c.code(c.decoded, datagram[:end])
	if subtle.ConstantTimeCompare(code, datagram[end:end+codeSize]) != 1 {
		return Header{}, nil, Error.Wrap(ErrForged)
	}
	return header, datagram[end+codeSize:], nil
}

func (c *Codec) code(number model.KeyNumber, header []byte) []byte {
	mac := c.macs[number]
	mac.Reset()
	mac.Write(header)
	c.sum = mac.Sum(c.sum[:0])
	return c.sum[:codeSize]
}

func (c *Codec) encodeHeader(h Header, size int) error {
	return errs.Combine(
		c.encoder.EncodeArrayLen(headerFields),
		c.encoder.EncodeUint(version|uint64(c.number)<<versionBits),
		c.encoder.EncodeUint(uint64(h.Kind)),
		c.encoder.EncodeUint(uint64(h.Service)),
		c.encodeAddr(h.Caller),
		c.encodeAddr(h.Alternate),
		c.encodeAddr(h.Via),
		c.encoder.EncodeUint(uint64(h.Load)),
		c.encoder.EncodeUint(uint64(h.Revision)),
		c.encoder.EncodeUint(uint64(h.Zone)),
		c.encoder.EncodeUint(uint64(size)),
	)
}

func (c *Codec) decodeHeader() (Header, int, error) {
	var h Header
	if n, err := c.decoder.DecodeArrayLen(); err != nil || n != headerFields {
		return h, 0, ErrMalformed
	}
	mark, err := c.uint(version | model.MaxKeyNumber<<versionBits)
	if err != nil || mark&versionMask != version {
		return h, 0, ErrMalformed
	}
	c.decoded = model.KeyNumber(mark >> versionBits)
	kind, err1 := c.uint(255)
	service, err2 := c.uint(1<<32 - 1)
	caller, err3 := c.decodeAddr()
	alternate, err4 := c.decodeAddr()
	via, err5 := c.decodeAddr()
	load, err6 := c.uint(1<<16 - 1)
	revision, err7 := c.uint(1<<64 - 1)
	zone, err8 := c.uint(1<<16 - 1)
	size, err9 := c.uint(MaxPayload)
	for _, err := range [...]error{err1, err2, err3, err4, err5, err6, err7, err8, err9} {
		if err != nil {
			return h, 0, err
		}
	}
	if !Kind(kind).Valid() {
		return h, 0, ErrMalformed
	}
	h = Header{
		Kind:      Kind(kind),
		Service:   model.ServiceTag(service),
		Caller:    caller,
		Alternate: alternate,
		Via:       via,
		Load:      uint16(load),
		Revision:  model.Revision(revision),
		Zone:      model.ZoneTag(zone),
	}
	return h, int(size), nil
}

func (c *Codec) uint(limit uint64) (uint64, error) {
	value, err := c.decoder.DecodeUint64()
	if err != nil {
		return 0, err
	}
	if value > limit {
		return 0, ErrMalformed
	}
	return value, nil
}

func (c *Codec) encodeAddr(addr netip.AddrPort) error {
	if !addr.IsValid() {
		return c.encoder.EncodeNil()
	}
	if err := c.encoder.EncodeBytesLen(addrSize); err != nil {
		return err
	}
	ip := addr.Addr().As16()
	copy(c.addr[:], ip[:])
	binary.BigEndian.PutUint16(c.addr[16:], addr.Port())
	_, err := c.out.Write(c.addr[:])
	return err
}

func (c *Codec) decodeAddr() (netip.AddrPort, error) {
	n, err := c.decoder.DecodeBytesLen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	if n == -1 {
		return netip.AddrPort{}, nil
	}
	if n != addrSize {
		return netip.AddrPort{}, ErrMalformed
	}
	if _, err := io.ReadFull(&c.in, c.addr[:]); err != nil {
		return netip.AddrPort{}, err
	}
	ip := netip.AddrFrom16([16]byte(c.addr[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(c.addr[16:])), nil
}
