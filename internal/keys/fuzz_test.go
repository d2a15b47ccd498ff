package keys

import (
	"strings"
	"testing"
)

// FuzzParseShared checks that no shared-key file crashes the parser and that an
// accepted file has at most two keys per name, with different numbers.
func FuzzParseShared(f *testing.F) {
	digits := strings.Repeat("0f", SharedKeySize)
	f.Add([]byte("datagram " + digits + "\nconnection_id 1 " + digits + "\n# x\n\nreset 2 " + digits))
	f.Add([]byte("datagram 1 " + digits + "\ndatagram 1 " + digits))
	f.Add([]byte("reset\x00 4 zz"))
	f.Fuzz(func(t *testing.T, text []byte) {
		shared, err := parseShared(text)
		if err != nil {
			return
		}
		for _, keys := range [][]Key{shared.DatagramKeys(), shared.ConnectionIDKeys()} {
			if len(keys) > maxKeysPerName || (len(keys) == 2 && keys[0].Number == keys[1].Number) {
				t.Fatalf("accepted %v from %q", keys, text)
			}
		}
	})
}
