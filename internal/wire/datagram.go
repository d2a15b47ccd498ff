// Package wire defines the format of the datagrams between balancers and
// agents of the QUIC path: a msgpack header, a message authentication code (MAC)
// over the header, and the caller's datagram, unmodified. A caller is a client that
// sends QUIC packets to a service. The MAC does not cover the caller's datagram.
// Package packetnode defines the datagrams of the packet path.
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

// Error is the class of all errors of this package.
var Error = errs.Class("wire")

// Errors of decoding, wrapped in Error.
var (
	// ErrMalformed is returned for a datagram that does not have this format.
	ErrMalformed = errs.New("malformed datagram")
	// ErrForged is returned for a datagram whose MAC is wrong or made with an
	// unknown key.
	ErrForged = errs.New("datagram is not authentic")
)

// MaxPayload is the maximum size of a caller's datagram, in bytes. With the
// header it fits an Ethernet frame, so a caller's path MTU probe above it gets
// no reply and the caller settles on a smaller size.
const MaxPayload = 1368

// MaxHeader is the maximum size of an encoded header with its MAC, in bytes.
const MaxHeader = 104

// MaxDatagram is the maximum size of a datagram between balancers and agents,
// in bytes.
const MaxDatagram = MaxPayload + MaxHeader

const (
	// version is the version of the format. The first field of a header holds it
	// in the lowest versionBits bits, and the key number above them.
	version     = 1
	versionBits = 4
	versionMask = 1<<versionBits - 1
	// headerFields is the number of elements of the msgpack array.
	headerFields = 10
	// macSize is the size of the truncated HMAC-SHA256, in bytes.
	macSize = 16
	// addrSize is the size of an encoded address, in bytes: 16 for the IP address
	// and 2 for the port.
	addrSize = 18
)

// Kind determines how the receiver handles a datagram.
type Kind uint8

// The kinds of datagrams.
const (
	// KindEstablished carries a packet of a flow whose connection ID the
	// receiving agent issued.
	KindEstablished Kind = 1
	// KindNewFlow carries a packet of a new flow; the alternate may take it.
	KindNewFlow Kind = 2
	// KindHandedOver carries a packet of a new flow that an agent hands over to
	// the alternate, which takes it or hands it back.
	KindHandedOver Kind = 3
	// KindHandedBack carries a packet of a new flow that the alternate handed
	// back; the receiver takes or drops it.
	KindHandedBack Kind = 4
	// KindOrphaned carries a packet of a flow whose agent no longer runs or must get
	// no packets, for example because its zone is out of service; the receiver answers
	// it with a stateless reset.
	KindOrphaned Kind = 5
	// KindReply carries a packet from an agent to a caller.
	KindReply Kind = 6
	// KindCount is one more than the largest kind.
	KindCount = 7
)

// String returns the kind's name in the metrics. It may differ from the name of
// the constant.
func (k Kind) String() string {
	names := [KindCount]string{"invalid", "established", "first", "handed", "final", "gone", "answer"}
	if k.Valid() {
		return names[k]
	}
	return names[0]
}

// Valid reports whether the kind is one of the constants above.
func (k Kind) Valid() bool { return k >= KindEstablished && k < KindCount }

// NewFlow reports whether the kind carries a packet of a new flow.
func (k Kind) NewFlow() bool { return k == KindNewFlow || k == KindHandedOver || k == KindHandedBack }

// Header describes a caller's packet between balancers and agents.
type Header struct {
	Kind    Kind
	Service model.ServiceTag
	// Caller is the address that the packet came from or goes to.
	Caller netip.AddrPort
	// Alternate is the data address of the agent that may take a new flow
	// instead of the receiver; invalid if there is none.
	Alternate netip.AddrPort
	// Via is the data address of the balancer that a handed-over packet came
	// through; invalid if the sender is that balancer.
	Via netip.AddrPort
	// Load is the sender's load, in thousandths of its capacity, when an agent
	// hands a new flow over to the alternate.
	Load uint16
	// Revision is the sender's revision of the out-of-service document.
	Revision model.Revision
	// Zone is the tag of the sender's availability zone.
	Zone model.ZoneTag
}

// Codec encodes and decodes datagrams. It reuses its buffers and is not safe
// for concurrent use; each traffic goroutine has its own.
type Codec struct {
	// keyedMACs holds a MAC for each key, indexed by key number; nil for an
	// unknown key.
	keyedMACs [model.MaxKeyNumber + 1]hash.Hash
	// encodeKey is the number of the key used to encode, and decodedKey that of
	// the datagram decoded last.
	encodeKey  model.KeyNumber
	decodedKey model.KeyNumber
	macBuffer  []byte
	out        bytes.Buffer
	encoder    *msgpack.Encoder
	in         bytes.Reader
	decoder    *msgpack.Decoder
	addrBuffer [addrSize]byte
}

// NewCodec returns a codec for the deployment's datagram keys; keys must not be
// empty. It encodes with the first key and decodes with any of them; each
// datagram carries the number of its key.
func NewCodec(keys []model.SharedKey) *Codec {
	c := &Codec{macBuffer: make([]byte, 0, sha256.Size), encodeKey: keys[0].Number}
	for _, key := range keys {
		c.keyedMACs[key.Number] = hmac.New(sha256.New, key.Secret[:])
	}
	c.encoder = msgpack.NewEncoder(&c.out)
	c.encoder.UseCompactInts(true)
	c.decoder = msgpack.NewDecoder(&c.in)
	return c
}

// Encode returns the datagram for a header and a payload, or an error if the
// payload exceeds MaxPayload. The result is valid until the next call.
func (c *Codec) Encode(header Header, payload []byte) ([]byte, error) {
	if len(payload) > MaxPayload {
		return nil, Error.New("payload of %d bytes exceeds %d", len(payload), MaxPayload)
	}
	c.out.Reset()
	if err := c.encodeHeader(header, len(payload)); err != nil {
		return nil, Error.Wrap(err)
	}
	mac := c.authenticationCode(c.encodeKey, c.out.Bytes())
	c.out.Write(mac)
	c.out.Write(payload)
	return c.out.Bytes(), nil
}

// Decode verifies a datagram and returns its header and payload. It returns
// ErrMalformed or ErrForged, wrapped in Error. The payload is a slice of the
// datagram.
func (c *Codec) Decode(datagram []byte) (Header, []byte, error) {
	c.in.Reset(datagram)
	c.decoder.Reset(&c.in)
	header, size, err := c.decodeHeader()
	if err != nil {
		return Header{}, nil, Error.Wrap(ErrMalformed)
	}
	end := len(datagram) - c.in.Len()
	if c.in.Len() != macSize+size {
		return Header{}, nil, Error.Wrap(ErrMalformed)
	}
	if c.keyedMACs[c.decodedKey] == nil {
		return Header{}, nil, Error.Wrap(ErrForged)
	}
	mac := c.authenticationCode(c.decodedKey, datagram[:end])
	if subtle.ConstantTimeCompare(mac, datagram[end:end+macSize]) != 1 {
		return Header{}, nil, Error.Wrap(ErrForged)
	}
	return header, datagram[end+macSize:], nil
}

// authenticationCode returns the MAC of a header. The result is valid until the
// next call.
func (c *Codec) authenticationCode(number model.KeyNumber, header []byte) []byte {
	mac := c.keyedMACs[number]
	mac.Reset()
	mac.Write(header)
	c.macBuffer = mac.Sum(c.macBuffer[:0])
	return c.macBuffer[:macSize]
}

func (c *Codec) encodeHeader(h Header, size int) error {
	return errs.Combine(
		c.encoder.EncodeArrayLen(headerFields),
		c.encoder.EncodeUint(version|uint64(c.encodeKey)<<versionBits),
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
	versionField, err := c.uint(version | model.MaxKeyNumber<<versionBits)
	if err != nil || versionField&versionMask != version {
		return h, 0, ErrMalformed
	}
	c.decodedKey = model.KeyNumber(versionField >> versionBits)
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

// uint decodes an unsigned integer. It returns ErrMalformed if the integer
// exceeds the limit.
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

// encodeAddr encodes an address, and an invalid one as nil.
func (c *Codec) encodeAddr(addr netip.AddrPort) error {
	if !addr.IsValid() {
		return c.encoder.EncodeNil()
	}
	if err := c.encoder.EncodeBytesLen(addrSize); err != nil {
		return err
	}
	ip := addr.Addr().As16()
	copy(c.addrBuffer[:], ip[:])
	binary.BigEndian.PutUint16(c.addrBuffer[16:], addr.Port())
	_, err := c.out.Write(c.addrBuffer[:])
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
	if _, err := io.ReadFull(&c.in, c.addrBuffer[:]); err != nil {
		return netip.AddrPort{}, err
	}
	ip := netip.AddrFrom16([16]byte(c.addrBuffer[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(c.addrBuffer[16:])), nil
}
