package steering

// The version-independent fields of the QUIC packet header (RFC 8999).
const (
	longHeaderBit    = 0x80
	longHeaderIDSize = 5
	maxLongIDSize    = 255
	// minInitialID is the minimum length of an ID chosen by a caller (RFC 9000, 7.2).
	minInitialID = 8
)

// PacketForm is the header form of a QUIC packet.
type PacketForm uint8

// The header forms.
const (
	// FormInvalid packets are too short for their form.
	FormInvalid PacketForm = 0
	// FormLong packets belong to a handshake.
	FormLong PacketForm = 1
	// FormShort packets belong to an established connection.
	FormShort PacketForm = 2
)

// DestinationID returns the destination connection ID of a QUIC packet. A short header
// does not contain the ID's length, which is assumed to be ConnectionIDSize.
func DestinationID(packet []byte) ([]byte, PacketForm) {
	if len(packet) < 1 {
		return nil, FormInvalid
	}
	if packet[0]&longHeaderBit == 0 {
		if len(packet) < 1+ConnectionIDSize {
			return nil, FormInvalid
		}
		return packet[1 : 1+ConnectionIDSize], FormShort
	}
	if len(packet) < longHeaderIDSize+1 {
		return nil, FormInvalid
	}
	size := int(packet[longHeaderIDSize])
	end := longHeaderIDSize + 1 + size
	if size > maxLongIDSize || len(packet) < end {
		return nil, FormInvalid
	}
	return packet[longHeaderIDSize+1 : end], FormLong
}
