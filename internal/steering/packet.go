package steering

// The parts of the QUIC packet header that do not depend on the QUIC version
// (RFC 8999).
const (
	longHeaderBit    = 0x80
	longHeaderIDSize = 5
	maxLongIDSize    = 255
	// minInitialID is the shortest ID that a caller may choose (RFC 9000, 7.2).
	minInitialID = 8
)

// PacketForm tells the two header forms of QUIC apart.
type PacketForm uint8

// The forms of packets.
const (
	// FormInvalid packets are too short for their form.
	FormInvalid PacketForm = 0
	// FormLong packets belong to a handshake.
	FormLong PacketForm = 1
	// FormShort packets belong to an established connection.
	FormShort PacketForm = 2
)

// DestinationID returns the destination connection ID of a QUIC packet. A short
// header does not say the ID's length, which is then ConnectionIDSize.
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
