package model

// SharedKeySize is the length of each shared key, in bytes.
const SharedKeySize = 32

// MaxKeyNumber is the largest number of a shared key; it fits two bits.
const MaxKeyNumber = 3

// KeyNumber tells which of two shared keys was used. It is carried in clear.
type KeyNumber uint8

// SharedKey is a key that all processes of a deployment have in common.
type SharedKey struct {
	Number KeyNumber
	Secret [SharedKeySize]byte
}
