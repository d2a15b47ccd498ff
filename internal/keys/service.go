package keys

import (
	"crypto/tls"
	"time"
)

// ServiceCertificate is the certificate that a service presents to its callers.
// All methods are safe for concurrent use.
type ServiceCertificate struct {
	pair *reloadable[tls.Certificate]
}

// LoadServiceCertificate reads and validates the PEM files of a certificate and
// its private key. It fails if the certificate has expired.
func LoadServiceCertificate(certificate, key string) (*ServiceCertificate, error) {
	pair, err := newReloadable("service_certificate", []string{certificate, key},
		func(contents [][]byte) (*tls.Certificate, error) {
			parsed, err := parseCertificate(contents[0], contents[1])
			return &parsed, err
		})
	if err != nil {
		return nil, err
	}
	return &ServiceCertificate{pair: pair}, nil
}

// TLS returns the configuration for accepting callers with TLS 1.3. Each
// connection uses the certificate that is current at its handshake.
func (s *ServiceCertificate) TLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.pair.current.Load(), nil
		},
	}
}

// Reloader returns the certificate for a Watcher to reload.
func (s *ServiceCertificate) Reloader() Reloader { return s.pair }

// Expires returns when the certificate expires.
func (s *ServiceCertificate) Expires() time.Time { return s.pair.current.Load().Leaf.NotAfter }
