// Package answer defines the requests that the load tool sends to the stand-in
// target, and makes bodies that prove which request they answer.
package targetapi

import (
	"encoding/binary"
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// The paths of the stand-in target.
const (
	// PathFeed streams blocks of BlockSize bytes, one each interval.
	PathFeed = "/feed"
	// PathFile returns a body of the wanted size at once.
	PathFile = "/file"
	// PathBooking runs one booking and answers with a body of BookingSize bytes.
	PathBooking = "/bookings"
)

// The query parameters of feeds and files.
const (
	QuerySize     = "size"
	QueryBlocks   = "blocks"
	QueryInterval = "interval_ms"
)

// The headers that the load tool and the stand-in target use.
const (
	// HeaderNonce names the request; the target repeats it in its answer.
	HeaderNonce = "Standin-Nonce"
	// HeaderKey is the usual idempotency key of a booking.
	HeaderKey = "Idempotency-Key"
)

// Sizes in bytes.
const (
	BlockSize   = 256
	BookingSize = 64
)

// Body returns a stream of bytes that depends on the nonce alone and ends after
// size bytes.
func Body(nonce string, size int64) io.Reader {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], xxhash.Sum64String(nonce))
	copy(seed[8:], nonce)
	return io.LimitReader(rand.NewChaCha8(seed), size)
}
