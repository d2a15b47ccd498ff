package agent

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"hash"

	"github.com/balsamlink/balsamlink/internal/steering"
)

// The sizes of a stateless reset (RFC 9000, 10.3), in bytes.
const (
	resetTokenSize = 16
	minResetSize   = 5 + resetTokenSize
	maxResetSize   = 42
	// shortHeaderBits are the two highest bits of the first byte of a packet with a
	// short header. randomBitsMask selects the other bits, which are random in a reset.
	randomBitsMask  = 0x3f
	shortHeaderBits = 0x40
)

// resetter builds stateless resets for flows that this agent does not have.
// The QUIC library itself replies only to packets of more than maxResetSize bytes,
// but a caller that waits for a response sends smaller ones. It is not safe for
// concurrent use.
type resetter struct {
	mac    hash.Hash
	buffer [maxResetSize]byte
}

// newResetter returns a resetter with the key that all agents share. Its
// tokens equal those that the QUIC library of any agent gives to callers.
func newResetter(key []byte) *resetter {
	return &resetter{mac: hmac.New(sha256.New, key)}
}

// build returns the reset for a packet, or nil if the packet has no short
// header or is so small that it may itself be a reset. The result is valid
// until the next call.
func (r *resetter) build(packet []byte) []byte {
	id, form := steering.DestinationID(packet)
	size := min(len(packet)-1, maxResetSize)
	if form != steering.ShortHeader || size < minResetSize {
		return nil
	}
	reset := r.buffer[:size]
	rand.Read(reset)
	reset[0] = reset[0]&randomBitsMask | shortHeaderBits
	r.mac.Reset()
	r.mac.Write(id)
	token := r.mac.Sum(nil)
	copy(reset[size-resetTokenSize:], token[:resetTokenSize])
	return reset
}
