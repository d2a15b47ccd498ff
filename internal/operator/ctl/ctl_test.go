package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/cluster"
	"github.com/balsamlink/balsamlink/internal/devcerts"
	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/operator"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/rpc"
	"github.com/balsamlink/balsamlink/internal/standin/memstore"
	"github.com/balsamlink/balsamlink/internal/status"
)

// memoryPlatform is a platform plug-in over the store of the running test.
type memoryPlatform struct{ platform.Store }

var (
	currentStore memstore.Store
	// failingCalls is the number of further platform calls that fail with fault.
	failingCalls atomic.Int64
	fault        = memstore.Unavailable
)

func nextFault(string) memstore.Fault {
	if failingCalls.Add(-1) >= 0 {
		return fault
	}
	return memstore.None
}

func (*memoryPlatform) Provision(kernel.Env, json.RawMessage) error { return nil }
func (*memoryPlatform) Validate() error                             { return nil }
func (*memoryPlatform) Start(context.Context) error                 { return nil }
func (*memoryPlatform) Drain(context.Context) error                 { return nil }
func (*memoryPlatform) Stop() error                                 { return nil }

func init() {
	kernel.Register(kernel.Plugin{Kind: kernel.KindPlatform, Name: "memory", New: func() kernel.Module {
		return &memoryPlatform{currentStore.View(nextFault)}
	}})
}

// testEnv is an operator's settings file with two running seeds, one that does not
// listen, and an empty platform.
type testEnv struct {
	t        *testing.T
	dir      string
	settings string

	mu           sync.Mutex
	revisions    model.Revisions
	ignorePushes bool
}

func newTestEnv(t *testing.T) *testEnv {
	currentStore = memstore.Store{}
	e := &testEnv{t: t, dir: t.TempDir()}
	require.NoError(t, devcerts.Generate(devcerts.Request{Directory: e.dir, Nodes: []string{"thandi"}}))
	files := keys.Files{
		Authority: e.path(devcerts.FileAuthority), Shared: e.path(devcerts.FileShared),
		Certificate: e.path("thandi.pem"), Key: e.path("thandi.key"),
	}
	seeds := []string{e.startSeed(files, "lb-1"), e.startSeed(files, "lb-2"), e.unreachableSeed()}
	text, err := json.Marshal(map[string]any{
		"author": "thandi", "keys": files, "seeds": seeds,
		"platform": map[string]any{"plugin": "memory", "settings": map[string]any{}},
	})
	require.NoError(t, err)
	e.settings = e.write("settings.json", string(text))
	return e
}

// startSeed starts a node that accepts documents, knows only itself and answers
// status requests.
func (e *testEnv) startSeed(files keys.Files, node model.NodeID) string {
	ring, err := keys.Load(files)
	require.NoError(e.t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(e.t, err)
	control := listener.Addr().(*net.TCPAddr).AddrPort()
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := rpc.NewServer(ring.ServerTLS(), logrus.NewEntry(log))
	server.Handle(rpc.MethodPushDocument, rpc.TypedHandler(func(_ context.Context, _ rpc.Peer, d cluster.Document) (cluster.PushDocumentReply, error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.ignorePushes {
			e.revisions[d.Kind] = max(e.revisions[d.Kind], d.Revision)
		}
		return cluster.PushDocumentReply{Revisions: e.revisions}, nil
	}))
	server.Handle(rpc.MethodStatus, rpc.TypedHandler(func(_ context.Context, _ rpc.Peer, _ status.Request) (status.Report, error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		self := status.Member{Node: node, Role: model.RoleBalancer, Zone: "gauteng-a", State: membership.StateActive, Control: control}
		return status.Report{Node: node, State: membership.StateActive, Revisions: e.revisions, Members: []status.Member{self}}, nil
	}))
	server.Serve(listener)
	e.t.Cleanup(func() { server.Close() })
	return control.String()
}

// unreachableSeed returns an address at which nothing listens.
func (e *testEnv) unreachableSeed() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(e.t, err)
	defer listener.Close()
	return listener.Addr().String()
}

func (e *testEnv) path(name string) string { return filepath.Join(e.dir, name) }

func (e *testEnv) write(name, text string) string {
	require.NoError(e.t, os.WriteFile(e.path(name), []byte(text), 0o600))
	return e.path(name)
}

func (e *testEnv) read(name string) string {
	text, err := os.ReadFile(e.path(name))
	require.NoError(e.t, err)
	return string(text)
}

// run runs balsamctl, requires an exit code and returns both outputs.
func (e *testEnv) run(code int, arguments ...string) string {
	var out, errOut bytes.Buffer
	got := Main(append([]string{"balsamctl", "--settings", e.settings}, arguments...), &out, &errOut)
	require.Equal(e.t, code, got, "%v: %s%s", arguments, &out, &errOut)
	return out.String() + errOut.String()
}

func decoded[T any](t *testing.T, text string) T {
	var value T
	require.NoError(t, json.NewDecoder(strings.NewReader(text)).Decode(&value), text)
	return value
}

func plansFile(units int) string {
	const form = `{"currency":"ZAR","plans":[{"name":"press","monthly_fee":"100.50","allowances":[{"service":"memberdesk",
		"requests_per_second":5,"burst":10,"in_flight":4,"units_per_month":%d,"unit_price":"0.25"}]}]}`
	return fmt.Sprintf(form, units)
}

const customersFile = `{"customers":[{"name":"paarl-print","plan":"press","credential_sha256":[]}]}`

// Runs the commands in the order in which an operator uses them. Each must see the
// changes of the earlier ones: revisions at the nodes, a refused change, the entries of
// the audit trail and the forecasts.
func TestOperatorWorkflow(t *testing.T) {
	e := newTestEnv(t)
	customers, plans := e.write("customers.json", customersFile), e.write("plans.json", plansFile(1000))
	require.Empty(t, e.run(kernel.ExitOK, "--check-settings"))
	require.Contains(t, e.run(kernel.ExitOK, "diff", customers, plans), "customer paarl-print: plan: added press")
	first := decoded[changeOutput](t, e.run(kernel.ExitOK, "apply", "--json", "--wait", "10s", customers, plans))
	require.Equal(t, &operator.InForce{Nodes: 2, Behind: []model.NodeID{}, Millis: first.InForce.Millis}, first.InForce)
	require.Equal(t, model.Revisions{1, 1, 0}, e.revisions)
	require.Contains(t, e.run(kernel.ExitOK, "apply", "--if-revision", "plans=0", customers, plans), "nothing to change at revision 1")
	again := e.write("again.json", e.run(kernel.ExitOK, "show", "plans"))
	require.Contains(t, e.run(kernel.ExitOK, "diff", again), "0 differences")

	require.Contains(t, e.run(kernel.ExitOK, "zone", "out", "gauteng-a", "--wait", "10s"), "in force at 2 of 2 nodes")
	out := e.run(kernel.ExitOK, "target", "out", "agent-3")
	require.Contains(t, out, "accepted as revision 2")
	require.Contains(t, out, `no node is known of target "agent-3"`)
	require.Contains(t, e.run(kernel.ExitOK, "show", "out"), "agent-3")
	nodes := decoded[map[string][]nodeOutput](t, e.run(kernel.ExitOK, "status", "--json"))["nodes"]
	require.Equal(t, &revisionsInForce{Customers: 1, Plans: 1, Out: 2}, nodes[0].InForce)

	changed := e.write("plans.json", plansFile(2000))
	refused := decoded[failure](t, e.run(ExitRefused, "apply", "--json", "--if-revision", "7", changed))
	require.Equal(t, operator.ReasonRevision, refused.Refusal.Reason)
	require.Equal(t, "1000", refused.Refusal.Differences[0].Before)
	require.Contains(t, e.run(kernel.ExitOK, "history", "plans"), "revision: the change was made for revision 7")
	trail := decoded[operator.AuditReport](t, e.run(kernel.ExitOK, "audit", "--json", "--since", "1h"))
	require.Len(t, trail.Entries, 5)
	require.Empty(t, decoded[operator.AuditReport](t, e.run(kernel.ExitOK, "audit", "--json", "--since", "0s")).Entries)

	require.Contains(t, e.run(kernel.ExitOK, "forecast"), "350.5")
	require.Contains(t, e.run(kernel.ExitOK, "forecast", customers, changed), "600.5")
	require.Contains(t, e.run(kernel.ExitOK, "forecast", "--offline", customers, changed), "600.5")
	e.run(kernel.ExitUsage, "forecast", "--offline", customers)
	csv := strings.Split(strings.TrimSpace(e.run(kernel.ExitOK, "forecast", "--csv")), "\n")
	require.Len(t, csv, 3)
	require.Contains(t, csv[2], "paarl-print,press,memberdesk,1000,0.25,250,0,0,0")
}

// A script must be able to tell from the exit code alone an invalid file, a refused
// change, a wrong command line, a change that is not in force in time and an edited
// audit trail.
func TestExitCodesTellFaultsApart(t *testing.T) {
	e := newTestEnv(t)
	customers, plans := e.write("customers.json", customersFile), e.write("plans.json", plansFile(1000))
	bad := e.write("bad.json", `{"customers":[{"name":"a","plan":"gone","credential_sha256":["beef"]}]}`)
	problems := decoded[failure](t, e.run(ExitInvalid, "lint", "--json", bad, plans)).Problems
	require.Equal(t, "customers[0].credential_sha256[0]", problems[0].Path)
	require.Equal(t, bad, problems[0].File)
	unknown := e.write("unknown.json", strings.ReplaceAll(customersFile, "press", "gone"))
	require.Contains(t, e.run(ExitInvalid, "lint", unknown, plans), `customers[0].plan: "gone"`)
	require.Contains(t, e.run(ExitRefused, "apply", customers), "refused (invalid)")
	for _, arguments := range [][]string{
		{"frob"}, {"zone", "frob"}, {"zone", "out"}, {"apply"}, {"apply", "--frob"}, {"show", "frob"},
		{"audit", "--since", "frob"}, {"apply", "--if-revision", "1", customers, plans},
	} {
		e.run(kernel.ExitUsage, arguments...)
	}
	e.run(kernel.ExitOK, "apply", customers, plans)
	e.ignorePushes = true
	require.Contains(t, e.run(ExitNotInForce, "zone", "out", "gauteng-a", "--wait", "300ms"), "in force at 0 of 2 nodes")
	store := currentStore.View(nextFault)
	entry, err := store.Get(context.Background(), "audit/segments/00000001")
	require.NoError(t, err)
	edited := bytes.ReplaceAll(entry.Value, []byte("thandi"), []byte("nobody"))
	_, err = store.Put(context.Background(), platform.Write{Key: entry.Key, Value: edited, Expect: entry.Version})
	require.NoError(t, err)
	require.Contains(t, e.run(ExitAudit, "audit"), "the entry was edited")
}

// The failing calls outlast one attempt to make a change, but not --retry. A command
// waits by itself while its calls exceed the call budget.
func TestPlatformDoesNotAnswer(t *testing.T) {
	e := newTestEnv(t)
	failingCalls.Store(10)
	e.run(ExitUnavailable, "zone", "out", "gauteng-a")
	failingCalls.Store(10)
	require.Contains(t, e.run(kernel.ExitOK, "zone", "out", "gauteng-a", "--retry", "1m"), "accepted as revision 1")
	fault = memstore.OverBudget
	defer func() { fault = memstore.Unavailable }()
	failingCalls.Store(3)
	require.Contains(t, e.run(kernel.ExitOK, "zone", "return", "gauteng-a"), "accepted as revision 2")
}
