// Package mutual makes a TLS configuration for both ends of calls between
// processes in a test.
package mutual

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("mutual")

// Name is the DNS name and the common name in the certificate.
const Name = "test"

const lifetime = time.Hour

// TLS returns a configuration with a new certificate that trusts itself.
func TLS() (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: Name}, DNSNames: []string{Name}, NotAfter: time.Now().Add(lifetime),
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, ServerName: Name,
	}, nil
}
