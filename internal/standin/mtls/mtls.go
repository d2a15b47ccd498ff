// Package mtls creates TLS configurations for mutually authenticated connections
// between processes in tests.
package mtls

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

// Error is the class of all errors of this package.
var Error = errs.Class("mutual")

// ServerName is the DNS name and the common name in the certificate.
const ServerName = "test"

// lifetime is the validity period of the certificate.
const lifetime = time.Hour

// NewConfig returns a configuration for servers and clients. Its new self-signed
// certificate is also the only trusted authority.
func NewConfig() (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: ServerName}, DNSNames: []string{ServerName}, NotAfter: time.Now().Add(lifetime),
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
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, ServerName: ServerName,
	}, nil
}
