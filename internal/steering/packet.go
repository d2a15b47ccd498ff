package steering

// The version-independent fields of the QUIC packet header (RFC 8999).
const (
	longHeaderBit = 0x80
	// longHeaderIDLengthOffset is the offset of the length of the destination ID, in
	// bytes, in a packet with a long header.
	longHeaderIDLengthOffset = 5
	// maxLongHeaderIDLength is the maximum length of an ID that RFC 8999 permits, in bytes.
	maxLongHeaderIDLength = 255
	// minInitialIDLength is the minimum length of an ID chosen by a caller, in bytes
	// (RFC 9000, 7.2).
	minInitialIDLength = 8
)

// HeaderForm is the header form of a QUIC packet.
type HeaderForm uint8

// The header forms.
const (
	// InvalidHeader packets are too short for their form.
	InvalidHeader HeaderForm = 0
	// LongHeader packets belong to a handshake.
	LongHeader HeaderForm = 1
	// ShortHeader packets belong to an established connection.
	ShortHeader HeaderForm = 2
)

// DestinationID returns the destination connection ID of a QUIC packet. A short header
// does not contain the ID's length, which is assumed to be ConnectionIDSize.
func DestinationID(packet []byte) ([]byte, HeaderForm) {
	if len(packet) < 1 {
		return nil, InvalidHeader
	}
	if packet[0]&longHeaderBit == 0 {
		if len(packet) < 1+ConnectionIDSize {
			return nil, InvalidHeader
		}
		return packet[1 : 1+ConnectionIDSize], ShortHeader
	}
	if len(packet) < longHeaderIDLengthOffset+1 {
		return nil, InvalidHeader
	}
	length := int(packet[longHeaderIDLengthOffset])
	end := longHeaderIDLengthOffset + 1 + length
	if length > maxLongHeaderIDLength || len(packet) < end {
		return nil, InvalidHeader
	}
	return packet[longHeaderIDLengthOffset+1 : end], LongHeader
}
