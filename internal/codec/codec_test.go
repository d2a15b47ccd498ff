package codec_test

import (
	"bytes"
	"math"
	"net/netip"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/codec"
)

// message has a field of each kind that messages use.
type message struct {
	Address netip.AddrPort
	Small   uint8
	Port    uint16
	Count   uint32
	Version uint64
	Offset  int32
	Started int64
	Name    string
	Body    []byte
	Parts   []part
	Next    *part
	Counts  map[string]uint16
	Any     any
}

type part struct {
	Name string
	Size uint16
}

// nested returns arrays that nest to a depth.
func nested(depth int) []byte {
	return append(bytes.Repeat([]byte{0x91}, depth), 0xc0)
}

// An entry of another writer may nest so deeply that a decoder that recurses overflows its
// stack, which ends the process.
func TestDeepNestingIsRefused(t *testing.T) {
	const depth = 16 << 20
	unknownField := append([]byte{0x81, 0xa1, 'x'}, nested(depth)...)
	for name, body := range map[string][]byte{"alone": nested(depth), "in an unknown field": unknownField} {
		t.Run(name, func(t *testing.T) {
			require.Error(t, codec.Unmarshal(body, &message{}))
			var value any
			require.Error(t, codec.Unmarshal(body, &value))
			var raw codec.Raw
			require.Error(t, codec.Unmarshal(body, &raw))
		})
	}
}

// A short message may declare more elements or bytes than it has.
func TestDeclaredLengthsAreChecked(t *testing.T) {
	for name, body := range map[string][]byte{
		"array of 2^32-1 elements": {0xdd, 0xff, 0xff, 0xff, 0xff, 0xc0},
		"map of 2^32-1 elements":   {0xdf, 0xff, 0xff, 0xff, 0xff, 0xc0},
		"string of 2^32-1 bytes":   {0xdb, 0xff, 0xff, 0xff, 0xff, 'a'},
		"binary of 2^32-1 bytes":   {0xc6, 0xff, 0xff, 0xff, 0xff, 'a'},
		"extension of 2^32-1":      {0xc9, 0xff, 0xff, 0xff, 0xff, 1, 'a'},
		"length cut off":           {0xdd, 0xff},
		"nothing":                  {},
		"a second message":         {0xc0, 0xc0},
	} {
		t.Run(name, func(t *testing.T) {
			var value any
			require.Error(t, codec.Unmarshal(body, &value))
		})
	}
}

// A nil in place of a struct takes one byte and decodes to a whole struct.
func TestListsOfNilStructsAreRefused(t *testing.T) {
	body := append([]byte{0xdc, 0xff, 0xff}, bytes.Repeat([]byte{0xc0}, 0xffff)...)
	var parts []part
	require.Error(t, codec.Unmarshal(body, &parts))
	require.Error(t, codec.Unmarshal(append([]byte{0x91}, 0x90), &parts), "a struct without fields")
}

func TestStructsOfOtherFieldsAreRefused(t *testing.T) {
	for name, value := range map[string]any{
		"a map": map[string]any{"Name": "a", "Size": 1}, "too few": []any{"a"}, "too many": []any{"a", 1, 2}, "a string": "a",
	} {
		t.Run(name, func(t *testing.T) {
			body, err := msgpack.Marshal(value)
			require.NoError(t, err)
			require.Error(t, codec.Unmarshal(body, &part{}))
		})
	}
}

// A number that is too large must not be taken for another one: port 65,536 is not port 0.
func TestIntegersOutOfRangeAreRefused(t *testing.T) {
	targets := []func() any{
		func() any { return new(int8) }, func() any { return new(int16) }, func() any { return new(int32) }, func() any { return new(int64) },
		func() any { return new(uint8) }, func() any { return new(uint16) }, func() any { return new(uint32) }, func() any { return new(uint64) },
	}
	rapid.Check(t, func(t *rapid.T) {
		var sent any = rapid.OneOf(rapid.Int64(), rapid.Int64Range(-70_000, 70_000)).Draw(t, "signed")
		if rapid.Bool().Draw(t, "large") {
			sent = rapid.Uint64Range(math.MaxInt64+1, math.MaxUint64).Draw(t, "unsigned")
		}
		body, err := codec.Marshal(sent)
		require.NoError(t, err)
		target := rapid.SampledFrom(targets).Draw(t, "target")()
		received := reflect.ValueOf(target).Elem()
		fits := integerFits(sent, received)
		if err := codec.Unmarshal(body, target); fits {
			require.NoError(t, err)
			require.EqualValues(t, sent, received.Interface())
		} else {
			require.Error(t, err)
		}
	})
}

func integerFits(sent any, target reflect.Value) bool {
	signed, isSigned := sent.(int64)
	if target.CanInt() {
		return isSigned && !target.OverflowInt(signed)
	}
	if isSigned {
		return signed >= 0 && !target.OverflowUint(uint64(signed))
	}
	return !target.OverflowUint(sent.(uint64))
}

// The conversion of a float that is out of range differs between processors.
func TestFloatsInPlaceOfIntegersAreRefused(t *testing.T) {
	for _, value := range []float64{1, 1e300, math.Inf(-1), math.NaN()} {
		body, err := codec.Marshal(value)
		require.NoError(t, err)
		require.Error(t, codec.Unmarshal(body, new(int64)))
		require.Error(t, codec.Unmarshal(body, new(uint16)))
	}
}

func drawMessage(t *rapid.T) message {
	drawn := message{
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, rapid.Byte().Draw(t, "address")}), rapid.Uint16().Draw(t, "port")),
		Small:   rapid.Uint8().Draw(t, "small"), Port: rapid.Uint16().Draw(t, "a port"), Count: rapid.Uint32().Draw(t, "count"),
		Version: rapid.Uint64().Draw(t, "version"), Offset: rapid.Int32().Draw(t, "offset"), Started: rapid.Int64().Draw(t, "started"),
		Name: rapid.String().Draw(t, "name"), Body: rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "body"),
		Counts: rapid.MapOfN(rapid.String(), rapid.Uint16(), 1, 20).Draw(t, "counts"),
		Any:    rapid.String().Draw(t, "any"),
	}
	for range rapid.IntRange(1, 20).Draw(t, "parts") {
		drawn.Parts = append(drawn.Parts, part{Name: rapid.String().Draw(t, "part"), Size: rapid.Uint16().Draw(t, "size")})
	}
	if rapid.Bool().Draw(t, "has next") {
		drawn.Next = &part{Name: "next", Size: 1}
	}
	return drawn
}

func TestMessagesDecodeAsEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := drawMessage(t)
		body, err := codec.Marshal(sent)
		require.NoError(t, err)
		var received message
		require.NoError(t, codec.Unmarshal(body, &received))
		require.Equal(t, sent, received)
		cut := rapid.IntRange(0, len(body)-1).Draw(t, "cut")
		require.Error(t, codec.Unmarshal(body[:cut], &message{}), "a message that ends early")
	})
}

// Whatever is decoded must be what its sender encoded: encoded again, it decodes to the same.
func FuzzUnmarshal(f *testing.F) {
	valid, err := codec.Marshal(message{Name: "a", Body: []byte("b"), Parts: []part{{Name: "c", Size: 65535}}, Any: int64(1)})
	require.NoError(f, err)
	f.Add(valid)
	f.Add(nested(40))
	f.Add([]byte{0x92, 0xa1, 'a', 0xce, 0, 1, 0, 0})
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		var first, second message
		if codec.Unmarshal(body, &first) != nil {
			return
		}
		again, err := codec.Marshal(first)
		if err != nil {
			t.Skip("an empty address has no encoding")
		}
		require.NoError(t, codec.Unmarshal(again, &second))
	})
}
