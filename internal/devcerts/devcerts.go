// Package devcerts generates the certificates and shared keys of a deployment on
// a developer's machine. They must not be used in production: the private keys of
// the authorities are stored in the same directory.
package devcerts

import (
	"crypto/rand"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/keys"
)

// Error is the class of all errors of this package.
var Error = errs.Class("devcerts")

// The names of the files common to all nodes. The directory also holds NAME.pem
// and NAME.key of each node, and service-NAME.pem and service-NAME.key of each
// service.
const (
	// FileAuthority is the authority of the certificates of nodes and operators.
	FileAuthority = "authority.pem"
	// FileServiceAuthority is the authority of the services' certificates, which
	// callers verify.
	FileServiceAuthority = "service-authority.pem"
	// FileShared holds the keys shared by all nodes.
	FileShared = "shared.keys"
)

// The permissions of the directory, of certificates and of files with secrets.
const (
	directoryMode = 0o700
	publicMode    = 0o644
	secretMode    = 0o600
)

// Request lists the nodes and services that Generate issues certificates for.
type Request struct {
	// Directory is the output directory. It is created if missing.
	Directory string
	// Nodes are the names of the balancers, agents and operators.
	Nodes []string
	// Services are the names of the services.
	Services []string
}

// namePattern matches the valid names of nodes and services.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Generate writes all files of a request. Existing authorities and shared keys are
// reused, so that nodes can be added later; existing certificates of the same
// names are replaced. It returns an error when a name is invalid or reserved.
func Generate(request Request) error {
	if err := request.validate(); err != nil {
		return err
	}
	if err := os.MkdirAll(request.Directory, directoryMode); err != nil {
		return Error.Wrap(err)
	}
	if err := issueNodeCertificates(request); err != nil {
		return err
	}
	if err := issueServiceCertificates(request); err != nil {
		return err
	}
	return writeSharedKeys(filepath.Join(request.Directory, FileShared))
}

// NodeFiles returns the paths of a node's files in a directory of Generate.
func NodeFiles(directory, node string) keys.Files {
	return keys.Files{
		Authority:   filepath.Join(directory, FileAuthority),
		Certificate: filepath.Join(directory, node+".pem"),
		Key:         filepath.Join(directory, node+".key"),
		Shared:      filepath.Join(directory, FileShared),
	}
}

// ServiceFiles returns the paths of a service's certificate and key in a directory
// of Generate.
func ServiceFiles(directory, service string) (certificate, key string) {
	base := filepath.Join(directory, "service-"+service)
	return base + ".pem", base + ".key"
}

func (r Request) validate() error {
	if r.Directory == "" {
		return Error.New("directory: missing; allowed: a path")
	}
	for _, name := range append(append([]string{}, r.Nodes...), r.Services...) {
		if !namePattern.MatchString(name) {
			return Error.New("name %q; allowed: %s", name, namePattern)
		}
	}
	for _, node := range r.Nodes {
		// The files of such a node would replace those of an authority or a service.
		if node == "authority" || strings.HasPrefix(node, "service-") {
			return Error.New("node name %q is reserved", node)
		}
	}
	return nil
}

// issueNodeCertificates issues certificates for both ends of the connections
// between nodes. All have the DNS name keys.SystemName; the common name is the
// node's.
func issueNodeCertificates(request Request) error {
	authority, err := loadOrCreateAuthority(filepath.Join(request.Directory, FileAuthority), "balsamlink development system")
	if err != nil {
		return err
	}
	for _, node := range request.Nodes {
		files := NodeFiles(request.Directory, node)
		usage := []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
		leaf := leafTemplate(node, keys.SystemName, usage)
		if err := authority.issue(leaf, files.Certificate, files.Key); err != nil {
			return err
		}
	}
	return nil
}

// issueServiceCertificates issues the certificates that callers verify.
func issueServiceCertificates(request Request) error {
	authority, err := loadOrCreateAuthority(filepath.Join(request.Directory, FileServiceAuthority), "balsamlink development services")
	if err != nil {
		return err
	}
	for _, service := range request.Services {
		certificate, key := ServiceFiles(request.Directory, service)
		leaf := leafTemplate(service, service, []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth})
		if err := authority.issue(leaf, certificate, key); err != nil {
			return err
		}
	}
	return nil
}

// writeSharedKeys writes new random keys that all nodes share, unless the file
// exists already. keys.Files describes its format; the 0 in a line is the number of
// the key.
func writeSharedKeys(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	var text strings.Builder
	for _, name := range []string{"datagram 0", "connection_id 0", "reset"} {
		secret := make([]byte, keys.SharedKeySize)
		rand.Read(secret)
		fmt.Fprintf(&text, "%s %s\n", name, hex.EncodeToString(secret))
	}
	return Error.Wrap(os.WriteFile(path, []byte(text.String()), secretMode))
}
