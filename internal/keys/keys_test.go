package keys_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/devcerts"
	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/observe"
)

func makeFiles(t *testing.T, directory string, nodes ...string) {
	require.NoError(t, devcerts.Generate(devcerts.Request{Directory: directory, Nodes: nodes, Services: []string{"memberdesk"}}))
}

func load(t *testing.T, directory, node string) *keys.Keyring {
	keyring, err := keys.Load(devcerts.NodeFiles(directory, node))
	require.NoError(t, err)
	return keyring
}

// handshakeResult holds the errors of both ends of a handshake and the common
// names of the certificates that they presented.
type handshakeResult struct {
	clientErr, serverErr error
	server, client       string
}

// handshake connects a client and a server over TCP. With TLS 1.3 a client learns
// only from a read whether the server accepted its certificate, so the server
// sends one byte.
func handshake(t *testing.T, client, server *tls.Config) handshakeResult {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	clientConn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	serverConn, err := listener.Accept()
	require.NoError(t, err)
	defer clientConn.Close()
	defer serverConn.Close()
	clientEnd, serverEnd := tls.Client(clientConn, client), tls.Server(serverConn, server)
	done := make(chan error, 1)
	go func() {
		err := serverEnd.Handshake()
		if err == nil {
			_, err = serverEnd.Write([]byte("x"))
		}
		serverConn.(*net.TCPConn).CloseWrite()
		done <- err
	}()
	var result handshakeResult
	_, result.clientErr = io.ReadFull(clientEnd, make([]byte, 1))
	if result.clientErr != nil {
		clientConn.Close()
	}
	result.serverErr = <-done
	if result.clientErr == nil && result.serverErr == nil {
		result.server = clientEnd.ConnectionState().PeerCertificates[0].Subject.CommonName
		result.client = serverEnd.ConnectionState().PeerCertificates[0].Subject.CommonName
	}
	return result
}

// Only a certificate of the system's own authority may authenticate a peer: neither
// one of another authority, nor that of a service, nor none at all.
func TestHandshakeRequiresCertificateOfTheSystem(t *testing.T) {
	directory, foreignDirectory := t.TempDir(), t.TempDir()
	makeFiles(t, directory, "lb-1", "agent-1")
	makeFiles(t, foreignDirectory, "lb-1")
	balancer, agent, foreign := load(t, directory, "lb-1"), load(t, directory, "agent-1"), load(t, foreignDirectory, "lb-1")
	require.NotEqual(t, balancer.Shared(), foreign.Shared())
	require.Equal(t, balancer.Shared(), agent.Shared())

	result := handshake(t, agent.ClientTLS(), balancer.ServerTLS())
	require.Equal(t, handshakeResult{server: "lb-1", client: "agent-1"}, result)
	require.Error(t, handshake(t, foreign.ClientTLS(), balancer.ServerTLS()).serverErr)
	require.Error(t, handshake(t, agent.ClientTLS(), foreign.ServerTLS()).clientErr)
	anonymous := &tls.Config{InsecureSkipVerify: true}
	require.Error(t, handshake(t, anonymous, balancer.ServerTLS()).serverErr)

	certificate, key := devcerts.ServiceFiles(directory, "memberdesk")
	service, err := keys.LoadServiceCertificate(certificate, key)
	require.NoError(t, err)
	err = handshake(t, agent.ClientTLS(), service.TLS()).clientErr
	require.Error(t, err, "a service's certificate does not authenticate a process of the system")
}

// A secret file that is invalid or missing at a reload, as in the middle of a
// replacement, must not take the working secret out of use.
func TestReloadAppliesValidFilesAndKeepsOldOnesOtherwise(t *testing.T) {
	directory := t.TempDir()
	makeFiles(t, directory, "lb-1", "agent-1")
	balancer, agent := load(t, directory, "lb-1"), load(t, directory, "agent-1")
	certificate, key := devcerts.ServiceFiles(directory, "memberdesk")
	service, err := keys.LoadServiceCertificate(certificate, key)
	require.NoError(t, err)
	log, err := observe.NewLog(io.Discard, "")
	require.NoError(t, err)
	metrics := observe.NewMetricSet()
	changes := 0
	items := append(balancer.Reloaders(), service.Reloader())
	watcher := keys.NewWatcher(log, metrics, func() { changes++ }, items...)
	// counts returns the numbers of calls of onChange, reloaded secrets and refused
	// ones.
	counts := func() [3]int64 {
		values := metrics.Values()
		return [3]int64{int64(changes), values["secrets_reloaded"], values["secrets_refused"]}
	}
	requireHandshake := func() {
		result := handshake(t, agent.ClientTLS(), balancer.ServerTLS())
		require.Equal(t, handshakeResult{server: "lb-1", client: "agent-1"}, result)
	}

	watcher.Check()
	require.Equal(t, [3]int64{0, 0, 0}, counts(), "nothing changed")

	files := devcerts.NodeFiles(directory, "lb-1")
	otherKey, err := os.ReadFile(devcerts.NodeFiles(directory, "agent-1").Key)
	require.NoError(t, err)
	oldShared := balancer.Shared()
	require.NoError(t, os.WriteFile(files.Key, otherKey, 0o600))
	require.NoError(t, os.Remove(certificate))
	require.NoError(t, os.WriteFile(files.Shared, []byte("datagram 9 00\n"), 0o600))
	watcher.Check()
	watcher.Check()
	require.Equal(t, [3]int64{0, 0, 3}, counts(), "each invalid file is reported once")
	require.Equal(t, oldShared, balancer.Shared())
	requireHandshake()

	require.NoError(t, os.Remove(files.Shared))
	makeFiles(t, directory, "lb-1")
	watcher.Check()
	require.Equal(t, [3]int64{1, 3, 3}, counts())
	require.NotEqual(t, oldShared, balancer.Shared())
	requireHandshake()

	// A new authority takes effect together with a certificate that it issued.
	other := t.TempDir()
	makeFiles(t, other, "lb-1", "agent-1")
	otherFiles := devcerts.NodeFiles(other, "lb-1")
	for from, to := range map[string]string{otherFiles.Authority: files.Authority, otherFiles.Certificate: files.Certificate, otherFiles.Key: files.Key} {
		content, err := os.ReadFile(from)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(to, content, 0o600))
	}
	watcher.Check()
	err = handshake(t, agent.ClientTLS(), balancer.ServerTLS()).clientErr
	require.Error(t, err, "the agent still trusts the old authority only")
	result := handshake(t, load(t, other, "agent-1").ClientTLS(), balancer.ServerTLS())
	require.Equal(t, handshakeResult{server: "lb-1", client: "agent-1"}, result)
}

// A rotation needs two datagram keys at once, the first of which is sent with. A
// malformed file must be rejected with an error that names the fault but, since it is
// logged, contains no key.
func TestSharedKeysDuringRotation(t *testing.T) {
	directory := t.TempDir()
	makeFiles(t, directory, "lb-1")
	files := devcerts.NodeFiles(directory, "lb-1")
	digits := func(digit string) string { return strings.Repeat(digit, 2*keys.SharedKeySize) }
	write := func(lines ...string) error {
		files.Shared = filepath.Join(directory, "rotated.keys")
		require.NoError(t, os.WriteFile(files.Shared, []byte(strings.Join(lines, "\n")), 0o600))
		_, err := keys.Load(files)
		return err
	}
	good := []string{"# now", "datagram 2 " + digits("2"), "datagram 1 " + digits("1"),
		"connection_id " + digits("3"), "reset " + digits("4")}
	require.NoError(t, write(good...))
	keyring, err := keys.Load(files)
	require.NoError(t, err)
	datagram := keyring.Shared().DatagramKeys()
	require.Len(t, datagram, 2)
	require.Equal(t, model.KeyNumber(2), datagram[0].Number)
	require.Equal(t, keyring.Shared().Datagram, datagram[0].Secret)
	require.Equal(t, byte(0x11), datagram[1].Secret[0])
	require.Len(t, keyring.Shared().ConnectionIDKeys(), 1)

	bad := map[string]string{
		"line 6: key datagram 2 is repeated":    "datagram 2 " + digits("5"),
		"3 keys named datagram":                 "datagram 3 " + digits("5"),
		`line 6: key number "4" is not allowed`: "datagram 4 " + digits("5"),
		`line 6: name "dataframe" is not known`: "dataframe " + digits("5"),
		"line 6: the last field is not 64 hex":  "connection_id 1 5555",
		"2 keys named reset":                    "reset 1 " + digits("5"),
	}
	for message, line := range bad {
		err := write(append(good[:len(good):len(good)], line)...)
		require.ErrorContains(t, err, message)
		require.NotContains(t, err.Error(), digits("5"), "errors must not contain secrets")
	}
	require.ErrorContains(t, write(good[:4]...), "0 keys named reset")
}

// Adding nodes must not replace the shared keys, which would cut off the existing
// nodes. Private keys must be readable by their owner only, and no node name may
// make the command write outside its directory or over the files of the authority or
// a service.
func TestCertsCommand(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "new")
	command := devcerts.Command()
	command.Writer = io.Discard
	arguments := []string{"certs", "--out", directory, "--node", "lb-1", "--node", "anele", "--service", "memberdesk"}
	require.NoError(t, command.Run(context.Background(), arguments))
	before := load(t, directory, "anele").Shared()
	makeFiles(t, directory, "lb-2")
	require.Equal(t, before, load(t, directory, "lb-2").Shared(), "shared keys are not replaced")
	info, err := os.Stat(devcerts.NodeFiles(directory, "anele").Key)
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	for _, name := range []string{"../x", "", "authority", "service-x"} {
		require.Error(t, devcerts.Generate(devcerts.Request{Directory: directory, Nodes: []string{name}}), name)
	}
}
