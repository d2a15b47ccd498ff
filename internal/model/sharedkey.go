package model

// SharedKeySize is the length of each shared key, in bytes.
const SharedKeySize = 32

// MaxKeyNumber is the largest number of a shared key; it fits two bits.
const MaxKeyNumber = 3

// KeyNumber identifies the shared key that a message was made with, so that two
// keys can be valid during a rotation. It is sent unencrypted.
type KeyNumber uint8

// SharedKey is a secret key that all processes of a deployment share.
type SharedKey struct {
	Number KeyNumber
	Secret [SharedKeySize]byte
}
