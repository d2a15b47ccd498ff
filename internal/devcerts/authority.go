package devcerts

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io/fs"
	"math/big"
	"os"
	"strings"
	"time"
)

const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	leafLifetime      = 365 * 24 * time.Hour
	// clockSkew is how far the clock of a machine may be behind. Certificates are
	// backdated by it, so that such machines accept them.
	clockSkew = time.Hour
	// serialBits is the size of the random serial numbers.
	serialBits = 127
)

// authority is a certificate authority.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// loadOrCreateAuthority loads an authority from path and the key file beside it,
// and creates both files when one of them is missing.
func loadOrCreateAuthority(path, name string) (*authority, error) {
	keyPath := strings.TrimSuffix(path, ".pem") + ".key"
	pair, err := tls.LoadX509KeyPair(path, keyPath)
	if errors.Is(err, fs.ErrNotExist) {
		return createAuthority(path, keyPath, name)
	}
	if err != nil {
		return nil, Error.New("authority %s: %v", path, err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, Error.New("authority %s: the key is not an ECDSA key", path)
	}
	return &authority{certificate: pair.Leaf, key: key}, nil
}

// createAuthority creates a self-signed authority and writes its files.
func createAuthority(path, keyPath, name string) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber:          newSerial(),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-clockSkew),
		NotAfter:              time.Now().Add(authorityLifetime),
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
		IsCA:                  true,
		MaxPathLenZero:        true,
	}
	created := &authority{certificate: template, key: key}
	der, err := created.sign(template, key)
	if err != nil {
		return nil, err
	}
	created.certificate, err = x509.ParseCertificate(der)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return created, writePair(path, keyPath, der, key)
}

// leafTemplate returns the template of a certificate that is not an authority's.
func leafTemplate(commonName, dnsName string, usage []x509.ExtKeyUsage) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: newSerial(),
		Subject:      pkix.Name{CommonName: commonName},
		DNSNames:     []string{dnsName},
		NotBefore:    time.Now().Add(-clockSkew),
		NotAfter:     time.Now().Add(leafLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  usage,
	}
}

// issue generates a key, signs its certificate and writes both files.
func (a *authority) issue(template *x509.Certificate, path, keyPath string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Error.Wrap(err)
	}
	der, err := a.sign(template, key)
	if err != nil {
		return err
	}
	return writePair(path, keyPath, der, key)
}

// sign returns the certificate of a key, signed by the authority, in DER form.
func (a *authority) sign(template *x509.Certificate, key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	return der, Error.Wrap(err)
}

// writePair writes a certificate in DER form and its private key as PEM files.
func writePair(path, keyPath string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := writePEM(keyPath, "PRIVATE KEY", keyDER, secretMode); err != nil {
		return err
	}
	return writePEM(path, "CERTIFICATE", der, publicMode)
}

func writePEM(path, blockType string, der []byte, mode os.FileMode) error {
	text := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	return Error.Wrap(os.WriteFile(path, text, mode))
}

func newSerial() *big.Int {
	limit := new(big.Int).Lsh(big.NewInt(1), serialBits)
	serial, err := rand.Int(rand.Reader, limit)
	if err != nil {
		panic("devcerts: random number generator failed: " + err.Error())
	}
	return serial
}
