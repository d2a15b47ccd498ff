package keys

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
)

// SharedKeySize is the length of each shared key, in bytes.
const SharedKeySize = model.SharedKeySize

// maxKeysPerName is the number of keys of one name that may be in use during a
// rotation.
const maxKeysPerName = 2

// Key is a shared key with its number, by which receivers choose among the keys in
// use during a rotation.
type Key = model.SharedKey

// Shared holds the symmetric keys that all processes of a deployment share.
// Datagram, ConnectionID and Reset are the keys to send with. During a rotation
// one secondary datagram key and one secondary connection ID key are accepted
// too; they are nil otherwise.
type Shared struct {
	Datagram     [SharedKeySize]byte
	ConnectionID [SharedKeySize]byte
	Reset        [SharedKeySize]byte

	DatagramNumber        model.KeyNumber
	ConnectionIDNumber    model.KeyNumber
	SecondaryDatagram     *Key
	SecondaryConnectionID *Key
}

// DatagramKeys returns the keys that authenticate received datagrams. The first
// is the key to send with.
func (s Shared) DatagramKeys() []Key {
	return withSecondary(Key{Number: s.DatagramNumber, Secret: s.Datagram}, s.SecondaryDatagram)
}

// ConnectionIDKeys returns the keys that decrypt connection IDs. The first is
// the key to issue connection IDs with.
func (s Shared) ConnectionIDKeys() []Key {
	return withSecondary(Key{Number: s.ConnectionIDNumber, Secret: s.ConnectionID}, s.SecondaryConnectionID)
}

func withSecondary(current Key, secondary *Key) []Key {
	if secondary == nil {
		return []Key{current}
	}
	return []Key{current, *secondary}
}

// The names of the shared keys in their file.
const (
	nameDatagram     = "datagram"
	nameConnectionID = "connection_id"
	nameReset        = "reset"
)

// sharedKeyFormat describes the format of the file in error messages.
var sharedKeyFormat = fmt.Sprintf(
	"lines of the form NAME [NUMBER] HEX with the names %s, %s, %s, numbers 0 to %d and %d hex digits",
	nameDatagram, nameConnectionID, nameReset, model.MaxKeyNumber, 2*SharedKeySize)

// parseShared parses the file of shared keys. It ignores empty lines and lines
// that begin with #.
func parseShared(text []byte) (Shared, error) {
	byName := map[string][]Key{}
	lineNumber := 0
	for line := range bytes.Lines(text) {
		lineNumber++
		fields := strings.Fields(string(line))
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if err := addKey(byName, fields); err != nil {
			return Shared{}, Error.New("line %d: %v; allowed: %s", lineNumber, err, sharedKeyFormat)
		}
	}
	return buildShared(byName)
}

// addKey parses the fields of one line and adds the key to those of its name.
func addKey(byName map[string][]Key, fields []string) error {
	name := fields[0]
	if name != nameDatagram && name != nameConnectionID && name != nameReset {
		return errs.New("name %q is not known", name)
	}
	key, err := parseKey(fields[1:])
	if err != nil {
		return err
	}
	for _, known := range byName[name] {
		if known.Number == key.Number {
			return errs.New("key %s %d is repeated", name, key.Number)
		}
	}
	byName[name] = append(byName[name], key)
	return nil
}

// parseKey parses an optional key number and the hex digits. Errors don't
// contain the digits, because they are secret.
func parseKey(fields []string) (Key, error) {
	var key Key
	if len(fields) == 2 {
		number, err := strconv.ParseUint(fields[0], 10, 8)
		if err != nil || number > model.MaxKeyNumber {
			return Key{}, errs.New("key number %q is not allowed", fields[0])
		}
		key.Number = model.KeyNumber(number)
		fields = fields[1:]
	}
	if len(fields) != 1 {
		return Key{}, errs.New("%d fields after the name", len(fields))
	}
	secret, err := hex.DecodeString(fields[0])
	if err != nil || len(secret) != SharedKeySize {
		return Key{}, errs.New("the last field is not %d hex digits", 2*SharedKeySize)
	}
	copy(key.Secret[:], secret)
	return key, nil
}

// buildShared checks the number of keys of each name and returns them as a
// Shared.
func buildShared(byName map[string][]Key) (Shared, error) {
	for _, name := range []string{nameDatagram, nameConnectionID, nameReset} {
		limit := maxKeysPerName
		if name == nameReset {
			limit = 1
		}
		if got := len(byName[name]); got < 1 || got > limit {
			return Shared{}, Error.New("%d keys named %s; allowed: 1 to %d", got, name, limit)
		}
	}
	datagram, connectionID := byName[nameDatagram], byName[nameConnectionID]
	return Shared{
		Datagram:              datagram[0].Secret,
		DatagramNumber:        datagram[0].Number,
		SecondaryDatagram:     secondKey(datagram),
		ConnectionID:          connectionID[0].Secret,
		ConnectionIDNumber:    connectionID[0].Number,
		SecondaryConnectionID: secondKey(connectionID),
		Reset:                 byName[nameReset][0].Secret,
	}, nil
}

func secondKey(keys []Key) *Key {
	if len(keys) < 2 {
		return nil
	}
	return &keys[1]
}
