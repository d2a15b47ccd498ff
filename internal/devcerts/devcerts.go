// Package devcerts makes the certificates and shared keys of a deployment on a
// developer's machine. The files are for development only: the authority's key
// lies beside them.
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

// Error is the class of all errors of this layer.
var Error = errs.Class("devcerts")

// The names of the files in the directory, beside NAME.pem and NAME.key of each
// node and service-NAME.pem and service-NAME.key of each service.
const (
	// FileAuthority signs the certificates of the system's processes.
	FileAuthority = "authority.pem"
	// FileServiceAuthority signs the certificates that callers see.
	FileServiceAuthority = "service-authority.pem"
	// FileShared holds the shared keys.
	FileShared = "shared.keys"
)

const (
	directoryMode = 0o700
	publicMode    = 0o644
	secretMode    = 0o600
)

// Request says what to make.
type Request struct {
	// Directory is where the files go. It is made when it is missing.
	Directory string
	// Nodes are the names of the system's processes and of operators.
	Nodes []string
	// Services are the names of the services.
	Services []string
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Generate makes all files of a request. Authorities and shared keys that are there
// already stay in use, so that nodes can be added later. Certificates of the
// same name are replaced.
func Generate(request Request) error {
	if err := request.check(); err != nil {
		return err
	}
	if err := os.MkdirAll(request.Directory, directoryMode); err != nil {
		return Error.Wrap(err)
	}
	if err := makeNodes(request); err != nil {
		return err
	}
	if err := makeServices(request); err != nil {
		return err
	}
	return makeShared(filepath.Join(request.Directory, FileShared))
}

// NodeFiles returns the files of a node in a directory made by Make.
func NodeFiles(directory, node string) keys.Files {
	return keys.Files{
		Authority:   filepath.Join(directory, FileAuthority),
		Certificate: filepath.Join(directory, node+".pem"),
		Key:         filepath.Join(directory, node+".key"),
		Shared:      filepath.Join(directory, FileShared),
	}
}

// ServiceFiles returns the certificate and key files of a service in a
// directory made by Make.
func ServiceFiles(directory, service string) (certificate, key string) {
	base := filepath.Join(directory, "service-"+service)
	return base + ".pem", base + ".key"
}

func (r Request) check() error {
	if r.Directory == "" {
		return Error.New("directory: missing; allowed: a path")
	}
	for _, name := range append(append([]string{}, r.Nodes...), r.Services...) {
		if !namePattern.MatchString(name) {
			return Error.New("name %q; allowed: %s", name, namePattern)
		}
	}
	for _, node := range r.Nodes {
		if node == "authority" || strings.HasPrefix(node, "service-") {
			return Error.New("node name %q is reserved", node)
		}
	}
	return nil
}

func makeNodes(request Request) error {
	authority, err := openAuthority(filepath.Join(request.Directory, FileAuthority), "balsamlink development system")
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

func makeServices(request Request) error {
	authority, err := openAuthority(filepath.Join(request.Directory, FileServiceAuthority), "balsamlink development services")
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

func makeShared(path string) error {
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
