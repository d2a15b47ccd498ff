// Package keys loads the secrets of a process and reloads them when their files
// change: the certificate and certificate authority for calls between the
// system's processes, the certificate that a service presents to its callers,
// and the shared keys that authenticate datagrams, encrypt QUIC connection IDs
// and sign QUIC stateless resets.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("keys")

// SystemName is the DNS name in every certificate of the system's processes.
const SystemName = "system.balsamlink.internal"

// Files names the files that hold the secrets of a process.
type Files struct {
	// Authority is the PEM file of the system's certificate authority. It may
	// hold several authorities during a rotation.
	Authority string `json:"authority" jsonschema:"minLength=1"`
	// Certificate is the PEM file of this process's certificate.
	Certificate string `json:"certificate" jsonschema:"minLength=1"`
	// Key is the PEM file of the certificate's private key.
	Key string `json:"key" jsonschema:"minLength=1"`
	// Shared is a file with one line for each shared key: its name, a space,
	// optionally its number (0 to 3; 0 if absent) and a space, and 64 hex digits.
	// The names are "datagram", "connection_id" and "reset". During a rotation,
	// each of the first two names may have two keys with different numbers: the
	// first is used for what is sent and both are accepted. What is sent names the
	// number of its key.
	Shared string `json:"shared" jsonschema:"minLength=1"`
}

// Keyring holds the current secrets of a process. All methods are safe for
// concurrent use.
type Keyring struct {
	identity *reloadable[identity]
	shared   *reloadable[Shared]
}

// identity is the process's certificate and the certificate authorities that it
// trusts.
type identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Load reads and validates all files. It fails if one is unreadable or invalid
// or if the certificate has expired.
func Load(files Files) (*Keyring, error) {
	paths := []string{files.Authority, files.Certificate, files.Key}
	identity, err := newReloadable("identity", paths, parseIdentity)
	if err != nil {
		return nil, err
	}
	shared, err := newReloadable("shared_keys", []string{files.Shared}, func(contents [][]byte) (*Shared, error) {
		shared, err := parseShared(contents[0])
		return &shared, err
	})
	if err != nil {
		return nil, err
	}
	return &Keyring{identity: identity, shared: shared}, nil
}

// Shared returns the current shared keys.
func (k *Keyring) Shared() Shared { return *k.shared.current.Load() }

// Reloaders returns the secrets for a Watcher to reload.
func (k *Keyring) Reloaders() []Reloader { return []Reloader{k.identity, k.shared} }

// Expires returns when the process's certificate expires.
func (k *Keyring) Expires() time.Time { return k.identity.current.Load().certificate.Leaf.NotAfter }

// ServerTLS returns the mutual TLS configuration for accepting calls. Each
// connection uses the certificate and authorities that are current at its
// handshake.
func (k *Keyring) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			identity := k.identity.current.Load()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{identity.certificate},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              identity.authorities,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientTLS returns the mutual TLS configuration for making calls. Each
// connection uses the certificate and authorities that are current at its
// handshake.
func (k *Keyring) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: SystemName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.identity.current.Load().certificate, nil
		},
		// crypto/tls verifies against a fixed pool only. VerifyConnection makes
		// the same check against the current pool instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return k.identity.current.Load().verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth)
		},
	}
}

// parseIdentity parses the contents of the files of the authority, the
// certificate and the private key, in this order.
func parseIdentity(contents [][]byte) (*identity, error) {
	certificate, err := parseCertificate(contents[1], contents[2])
	if err != nil {
		return nil, err
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(contents[0]) {
		return nil, Error.New("the authority file holds no certificate")
	}
	identity := &identity{certificate: certificate, authorities: authorities}
	if err := identity.verifySelf(); err != nil {
		return nil, Error.New("the authority does not verify the certificate: %v", err)
	}
	return identity, nil
}

func parseCertificate(certificate, key []byte) (tls.Certificate, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return tls.Certificate{}, Error.New("certificate and key: %v", err)
	}
	if time.Now().After(pair.Leaf.NotAfter) {
		return tls.Certificate{}, Error.New("the certificate expired at %s", pair.Leaf.NotAfter)
	}
	return pair, nil
}

// verifySelf checks that the process's own certificate would be accepted by
// another process that trusts the same authorities.
func (i *identity) verifySelf() error {
	var chain []*x509.Certificate
	for _, raw := range i.certificate.Certificate {
		parsed, err := x509.ParseCertificate(raw)
		if err != nil {
			return Error.Wrap(err)
		}
		chain = append(chain, parsed)
	}
	return i.verify(chain, x509.ExtKeyUsageClientAuth)
}

// verify checks that a certificate chain leads to a trusted authority and that
// its leaf is valid for SystemName and the usage.
func (i *identity) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return Error.New("the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		DNSName:       SystemName,
		Roots:         i.authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return Error.Wrap(err)
}
