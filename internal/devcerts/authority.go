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
	// clockSkew backdates certificates, so that machines whose clocks are behind
	// accept them.
	clockSkew  = time.Hour
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
	raw, err := created.sign(template, key)
	if err != nil {
		return nil, err
	}
	created.certificate, err = x509.ParseCertificate(raw)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return created, writePair(path, keyPath, raw, key)
}

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
	raw, err := a.sign(template, key)
	if err != nil {
		return err
	}
	return writePair(path, keyPath, raw, key)
}

func (a *authority) sign(template *x509.Certificate, key *ecdsa.PrivateKey) ([]byte, error) {
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	return raw, Error.Wrap(err)
}

func writePair(path, keyPath string, raw []byte, key *ecdsa.PrivateKey) error {
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := writePEM(keyPath, "PRIVATE KEY", secret, secretMode); err != nil {
		return err
	}
	return writePEM(path, "CERTIFICATE", raw, publicMode)
}

func writePEM(path, kind string, raw []byte, mode os.FileMode) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
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
