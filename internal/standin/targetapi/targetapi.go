// Package targetapi defines the requests that the load tool sends to the stand-in
// target, and the response bodies. A body is derived from the nonce of its request,
// so that the load tool detects responses to other requests and corrupted ones.
package targetapi

import (
	"encoding/binary"
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// The request paths of the stand-in target.
const (
	// PathFeed streams blocks of BlockSize bytes, one per interval.
	PathFeed = "/feed"
	// PathFile returns a body of the requested size without pauses.
	PathFile = "/file"
	// PathBooking runs one booking, a POST request that must not run twice, and
	// returns a body of BookingSize bytes.
	PathBooking = "/bookings"
)

// The query parameters: QuerySize of files, in bytes; QueryBlocks and
// QueryInterval, in milliseconds, of feeds.
const (
	QuerySize     = "size"
	QueryBlocks   = "blocks"
	QueryInterval = "interval_ms"
)

// The headers that the load tool and the stand-in target use.
const (
	// HeaderNonce identifies the request; the target repeats it in the response.
	HeaderNonce = "Standin-Nonce"
	// HeaderKey is the idempotency key of a booking.
	HeaderKey = "Idempotency-Key"
)

// Sizes in bytes.
const (
	BlockSize   = 256
	BookingSize = 64
)

// Body returns a stream of size bytes, pseudo-random and determined by the nonce
// alone.
func Body(nonce string, size int64) io.Reader {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], xxhash.Sum64String(nonce))
	copy(seed[8:], nonce)
	return io.LimitReader(rand.NewChaCha8(seed), size)
}
