// Package bearer is the credential plug-in for bearer tokens (RFC 6750).
package bearer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/balsamlink/balsamlink/internal/credential"
	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// scheme is the authentication scheme in the Authorization header, compared
	// without regard to case.
	scheme = "bearer"
	// maxTokenSize is the maximum size of a token, in bytes.
	maxTokenSize = 4 << 10
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kernel.KindCredential,
		Name: "bearer",
		New:  func() kernel.Module { return &Module{} },
	})
}

// Module is the plug-in. It implements credential.Bindable.
type Module struct {
	directory credential.Directory
}

// Provision implements kernel.Module. The plug-in has no settings.
func (m *Module) Provision(kernel.Env, json.RawMessage) error { return nil }

// Validate implements kernel.Module.
func (m *Module) Validate() error { return nil }

// Start implements kernel.Module.
func (m *Module) Start(context.Context) error {
	if m.directory == nil {
		return credential.Error.New("bearer: no directory is bound")
	}
	return nil
}

// Drain implements kernel.Module.
func (m *Module) Drain(context.Context) error { return nil }

// Stop implements kernel.Module.
func (m *Module) Stop() error { return nil }

// Bind implements credential.Bindable. It is called before Start.
func (m *Module) Bind(directory credential.Directory) { m.directory = directory }

// Check implements credential.Checker. The error is ErrMissing, ErrNoDirectory or
// ErrUnknown of package credential.
func (m *Module) Check(request *http.Request) (model.Customer, error) {
	token, err := bearerToken(request)
	if err != nil {
		return "", err
	}
	if !m.directory.CustomersKnown() {
		return "", credential.Error.Wrap(credential.ErrNoDirectory)
	}
	hash := sha256.Sum256([]byte(token))
	customer, known := m.directory.CustomerByCredential(hex.EncodeToString(hash[:]))
	if !known {
		return "", credential.Error.Wrap(credential.ErrUnknown)
	}
	return customer, nil
}

// bearerToken returns the token in the Authorization header of a request. A request
// with several such headers, or with a token longer than maxTokenSize bytes, counts
// as having no token.
func bearerToken(request *http.Request) (string, error) {
	values := request.Header.Values("Authorization")
	if len(values) != 1 {
		return "", credential.Error.Wrap(credential.ErrMissing)
	}
	name, token, found := strings.Cut(values[0], " ")
	token = strings.TrimSpace(token)
	if !found || !strings.EqualFold(name, scheme) || token == "" || len(token) > maxTokenSize {
		return "", credential.Error.Wrap(credential.ErrMissing)
	}
	return token, nil
}
