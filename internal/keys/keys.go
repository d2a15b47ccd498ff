// Package keys loads the secrets of a process: the certificate and authority
// for calls between the system's processes, and the shared keys that
// authenticate datagrams, seal connection IDs and sign stateless resets.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"os"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("keys")

// SharedKeySize is the length of each shared key, in bytes.
const SharedKeySize = 32

// SystemName is the DNS name in every certificate of the system's processes.
const SystemName = "system.balsamlink.internal"

// Files names the files that hold the secrets of a process.
type Files struct {
	// Authority is the PEM file of the system's certificate authority.
	Authority string `json:"authority"`
	// Certificate and Key are the PEM files of this process.
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Shared is a file with one line for each shared key: its name, a space and
	// 64 hex digits. The names are "datagram", "connection_id" and "reset".
	Shared string `json:"shared"`
}

// Shared holds the keys that all processes of a deployment have in common.
type Shared struct {
	Datagram     [SharedKeySize]byte
	ConnectionID [SharedKeySize]byte
	Reset        [SharedKeySize]byte
}

// Ring holds the secrets of a process.
type Ring struct {
	Shared Shared

	certificate tls.Certificate
	authorities *x509.CertPool
}

// Load reads all files and checks their contents.
func Load(files Files) (*Ring, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, Error.New("certificate and key: %v", err)
	}
	pem, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, Error.New("authority: %v", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, Error.New("authority: %s holds no certificate", files.Authority)
	}
	shared, err := loadShared(files.Shared)
	if err != nil {
		return nil, err
	}
	return &Ring{Shared: shared, certificate: certificate, authorities: authorities}, nil
}

// ServerTLS returns the configuration for accepting calls.
func (r *Ring) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{r.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    r.authorities,
	}
}

// ClientTLS returns the configuration for making calls.
func (r *Ring) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{r.certificate},
		RootCAs:      r.authorities,
		ServerName:   SystemName,
	}
}

func loadShared(path string) (Shared, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Shared{}, Error.New("shared: %v", err)
	}
	var shared Shared
	fields := []struct {
		name string
		key  *[SharedKeySize]byte
	}{
		{"datagram", &shared.Datagram},
		{"connection_id", &shared.ConnectionID},
		{"reset", &shared.Reset},
	}
	for _, field := range fields {
		if err := parseShared(string(text), field.name, field.key); err != nil {
			return Shared{}, err
		}
	}
	return shared, nil
}

func parseShared(text, name string, key *[SharedKeySize]byte) error {
	for line := range strings.Lines(text) {
		got, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		if got != name {
			continue
		}
		raw, err := hex.DecodeString(digits)
		if err != nil || len(raw) != SharedKeySize {
			return Error.New("shared: key %q is not %d hex digits", name, 2*SharedKeySize)
		}
		copy(key[:], raw)
		return nil
	}
	return Error.New("shared: key %q is missing", name)
}
