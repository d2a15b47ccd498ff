package wire

import (
	"bufio"
	"bytes"
	"net"
	"net/netip"
	"slices"
	"testing"

	"github.com/pires/go-proxyproto"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/model"
)

func drawAddr(t *rapid.T, label string) netip.AddrPort {
	port := rapid.Uint16().Draw(t, label+" port")
	if rapid.Bool().Draw(t, label+" is v6") {
		ip := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, label)
		return netip.AddrPortFrom(netip.AddrFrom16([16]byte(ip)).Unmap(), port)
	}
	ip := rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, label)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), port)
}

func drawHeader(t *rapid.T) Header {
	header := Header{
		Kind:     Kind(rapid.Uint8Range(1, KindCount-1).Draw(t, "kind")),
		Service:  model.ServiceTag(rapid.Uint32().Draw(t, "service")),
		Caller:   drawAddr(t, "caller"),
		Load:     rapid.Uint16().Draw(t, "load"),
		Revision: model.Revision(rapid.Uint64().Draw(t, "revision")),
		Zone:     model.ZoneTag(rapid.Uint16().Draw(t, "zone")),
	}
	if rapid.Bool().Draw(t, "has alternate") {
		header.Alternate = drawAddr(t, "alternate")
		header.Via = drawAddr(t, "via")
	}
	return header
}

func TestRoundTripAndFlippedHeaderBitIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		codec := NewCodec(testKeys("key"))
		header := drawHeader(t)
		payload := rapid.SliceOfN(rapid.Byte(), 0, MaxPayload).Draw(t, "payload")
		encoded, err := codec.Encode(header, payload)
		require.NoError(t, err)
		require.LessOrEqual(t, len(encoded)-len(payload), MaxHeader)
		datagram := bytes.Clone(encoded)
		gotHeader, gotPayload, err := codec.Decode(datagram)
		require.NoError(t, err)
		require.Equal(t, header, gotHeader)
		require.True(t, bytes.Equal(payload, gotPayload))

		overhead := len(datagram) - len(payload)
		bit := rapid.IntRange(0, overhead*8-1).Draw(t, "bit")
		datagram[bit/8] ^= 1 << (bit % 8)
		_, _, err = codec.Decode(datagram)
		require.Error(t, err)
	})
}

func TestDifferentKeyIsRejectedAsForged(t *testing.T) {
	encoded, err := NewCodec(testKeys("one")).Encode(Header{Kind: KindNewFlow}, []byte("x"))
	require.NoError(t, err)
	_, _, err = NewCodec(testKeys("two")).Decode(encoded)
	require.ErrorIs(t, err, ErrForged)
}

func TestProxyHeaderMatchesReferenceLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		header := ProxyHeader{Source: drawAddr(t, "source"), Destination: drawAddr(t, "destination")}
		if header.Source.Addr().Is4() != header.Destination.Addr().Is4() {
			t.Skip("families differ")
		}
		ours := AppendProxy(nil, header)
		theirs, err := proxyproto.Read(bufio.NewReader(bytes.NewReader(ours)))
		require.NoError(t, err)
		require.Equal(t, header.Source, unmap(theirs.SourceAddr.(*net.UDPAddr).AddrPort()))
		require.Equal(t, header.Destination, unmap(theirs.DestinationAddr.(*net.UDPAddr).AddrPort()))
		formatted, err := theirs.Format()
		require.NoError(t, err)
		got, payload, err := ParseProxy(append(formatted, "data"...))
		require.NoError(t, err)
		require.Equal(t, header, got)
		require.Equal(t, "data", string(payload))
	})
}

func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// Decode must not panic, and what it accepts must be valid again when encoded.
func FuzzDecode(f *testing.F) {
	encoded, err := NewCodec(testKeys("key")).Encode(Header{Kind: KindNewFlow, Caller: netip.MustParseAddrPort("127.0.0.1:1")}, []byte("hello"))
	require.NoError(f, err)
	f.Add(bytes.Clone(encoded))
	f.Add(encoded[:5])
	f.Add([]byte{0xdc, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		header, payload, err := NewCodec(testKeys("key")).Decode(data)
		if err == nil {
			again, err := NewCodec(testKeys("key")).Encode(header, payload)
			require.NoError(t, err)
			_, _, err = NewCodec(testKeys("key")).Decode(again)
			require.NoError(t, err)
		}
	})
}

// ParseProxy must not panic or return a payload longer than the datagram without the
// smallest PROXY header.
func FuzzParseProxy(f *testing.F) {
	header := ProxyHeader{Source: netip.MustParseAddrPort("127.0.0.1:1"), Destination: netip.MustParseAddrPort("127.0.0.1:2")}
	f.Add(AppendProxy(nil, header))
	f.Add(AppendProxy(nil, header)[:20])
	f.Fuzz(func(t *testing.T, data []byte) {
		_, payload, err := ParseProxy(data)
		if err == nil {
			require.LessOrEqual(t, len(payload), len(data)-proxySize4)
		}
	})
}

func BenchmarkEncodeDecode(b *testing.B) {
	codec := NewCodec(testKeys("key"))
	payload := make([]byte, 1200)
	header := Header{Kind: KindEstablished, Service: 7, Caller: netip.MustParseAddrPort("127.0.0.1:999"), Revision: 3}
	b.ReportAllocs()
	for b.Loop() {
		datagram, err := codec.Encode(header, payload)
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := codec.Decode(datagram); err != nil {
			b.Fatal(err)
		}
	}
}

func testKey(number model.KeyNumber, text string) model.SharedKey {
	key := model.SharedKey{Number: number}
	copy(key.Secret[:], text)
	return key
}

func testKeys(text string) []model.SharedKey { return []model.SharedKey{testKey(0, text)} }

// TestKeyRotation checks that each stage of a key rotation accepts the
// datagrams of the stages directly before and after it.
func TestKeyRotation(t *testing.T) {
	oldKey, newKey := testKey(3, "old"), testKey(1, "new")
	stages := [][]model.SharedKey{{oldKey}, {oldKey, newKey}, {newKey, oldKey}, {newKey}}
	for i, from := range stages {
		for j, to := range stages {
			encoded, err := NewCodec(from).Encode(Header{Kind: KindNewFlow}, []byte("x"))
			require.NoError(t, err)
			_, payload, err := NewCodec(to).Decode(encoded)
			if slices.Contains(to, from[0]) {
				require.NoError(t, err, "%d to %d", i, j)
				require.Equal(t, "x", string(payload))
				continue
			}
			require.ErrorIs(t, err, ErrForged, "%d to %d", i, j)
			require.Greater(t, max(i-j, j-i), 1, "neighbouring stages accept each other's datagrams")
		}
	}
	renumbered := NewCodec([]model.SharedKey{testKey(1, "old")})
	encoded, err := renumbered.Encode(Header{Kind: KindNewFlow}, []byte("x"))
	require.NoError(t, err)
	_, _, err = NewCodec(stages[1]).Decode(encoded)
	require.ErrorIs(t, err, ErrForged, "the old key under the number of the new one")
}
