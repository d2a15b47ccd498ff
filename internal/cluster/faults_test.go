package cluster

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

// fakePlatform keeps values in memory and can be made unavailable. Its leases do
// not expire.
type fakePlatform struct {
	mu      sync.Mutex
	entries map[string]platform.Entry
	version platform.Version
	leases  map[platform.LeaseID]string
	down    atomic.Bool
	watches atomic.Int64
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{entries: map[string]platform.Entry{}, leases: map[platform.LeaseID]string{}}
}

func (p *fakePlatform) access(work func() error) error {
	if p.down.Load() {
		return platform.Error.Wrap(platform.ErrUnavailable)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return work()
}

func (p *fakePlatform) Get(_ context.Context, key string) (entry platform.Entry, err error) {
	err = p.access(func() error {
		var found bool
		if entry, found = p.entries[key]; !found {
			return platform.Error.Wrap(platform.ErrNotFound)
		}
		return nil
	})
	return entry, err
}

func (p *fakePlatform) List(_ context.Context, prefix string) (entries []platform.Entry, err error) {
	err = p.access(func() error {
		for key, entry := range p.entries {
			if strings.HasPrefix(key, prefix) {
				entries = append(entries, entry)
			}
		}
		return nil
	})
	return entries, err
}

func (p *fakePlatform) Put(_ context.Context, write platform.Write) (version platform.Version, err error) {
	err = p.access(func() error {
		if p.entries[write.Key].Version != write.Expect {
			return platform.Error.Wrap(platform.ErrConflict)
		}
		p.version++
		version = p.version
		p.entries[write.Key] = platform.Entry{Key: write.Key, Value: write.Value, Version: version, Lease: write.Lease}
		return nil
	})
	return version, err
}

func (p *fakePlatform) Delete(context.Context, string, platform.Version) error {
	return platform.Error.Wrap(platform.ErrUnavailable)
}

func (p *fakePlatform) Watch(ctx context.Context, prefix string, after platform.Version) (platform.PrefixState, error) {
	p.watches.Add(1)
	entries, err := p.List(ctx, prefix)
	if err != nil {
		return platform.PrefixState{}, err
	}
	result := platform.PrefixState{Version: after}
	for _, entry := range entries {
		if entry.Version > after {
			result.Changed, result.Entries = true, entries
			result.Version = max(result.Version, entry.Version)
		}
	}
	return result, nil
}

func (p *fakePlatform) Grant(context.Context, time.Duration) (lease platform.LeaseID, err error) {
	err = p.access(func() error {
		p.version++
		lease = platform.LeaseID(p.version)
		return nil
	})
	return lease, err
}

func (p *fakePlatform) KeepAlive(context.Context, platform.LeaseID) error {
	return p.access(func() error { return nil })
}

func (p *fakePlatform) Revoke(_ context.Context, lease platform.LeaseID) error {
	return p.access(func() error {
		for key, entry := range p.entries {
			if entry.Lease == lease {
				delete(p.entries, key)
			}
		}
		return nil
	})
}

// accept stores a revision of the out-of-service document.
func (p *fakePlatform) accept(t *testing.T, revision model.Revision) {
	key := DocumentsPrefix + model.DocumentOutOfService.String()
	held, _ := p.Get(context.Background(), key)
	value := fmt.Appendf(nil, `{"revision":%d}`, revision)
	_, err := p.Put(context.Background(), platform.Write{Key: key, Value: value, Expect: held.Version})
	require.NoError(t, err)
}

// allFresh returns a condition: all members are fresh and hold a revision of the
// out-of-service document.
func allFresh(members []*member, revision model.Revision) func() bool {
	return func() bool {
		for _, m := range members {
			if !m.Fresh(model.Now()) || m.Revisions()[model.DocumentOutOfService] != revision {
				return false
			}
		}
		return true
	}
}

// TestNodesJoinThroughPlatformAndSurviveItsOutage starts nodes that know only the
// seed stored in the platform, and then makes the platform unavailable. During the
// outage a node must be able to join by a configured seed, crashes must be
// detected, and the nodes must stay fresh.
func TestNodesJoinThroughPlatformAndSurviveItsOutage(t *testing.T) {
	s := newSecrets(t)
	store := newFakePlatform()
	first := s.start(t, memberConfig{name: "lb-0", platform: store})
	waitFor(t, 8*time.Second, "the seed is stored", func() bool {
		entries, err := store.List(context.Background(), SeedsPrefix)
		return err == nil && len(entries) == 1 && string(entries[0].Value) == first.addr().String()
	})
	second := s.start(t, memberConfig{name: "lb-1", platform: store})
	all := []*member{first, second}
	names := []model.NodeID{"lb-0", "lb-1", "agent-0", "agent-1", "agent-2"}
	for _, name := range names[2:] {
		all = append(all, s.start(t, memberConfig{name: name, service: "memberdesk", platform: store}))
	}
	waitFor(t, 5*time.Second, "all nodes join", func() bool { return sees(all, names...) })
	waitFor(t, 3*time.Second, "fresh without documents", allFresh(all, 0))
	store.accept(t, 1)
	t.Logf("in force after %s", waitFor(t, 3*time.Second, "revision 1", allFresh(all, 1)))

	store.down.Store(true)
	late := s.start(t, memberConfig{name: "lb-2", platform: store, seeds: []netip.AddrPort{first.addr()}})
	all = append(all, late)
	waitFor(t, 5*time.Second, "a node joins during the outage", func() bool {
		return sees(all, append([]model.NodeID{"lb-2"}, names...)...) && allFresh(all, 1)()
	})
	requireStaysFresh(t, all)
	second.kill()
	late.kill()
	rest := append([]*member{first}, all[2:5]...)
	waitFor(t, 4*time.Second, "both crashes are detected", func() bool {
		return sees(rest, "lb-0", "agent-0", "agent-1", "agent-2")
	})
	requireStaysFresh(t, rest)
}

// requireStaysFresh checks freshness for longer than any verification time
// stays valid.
func requireStaysFresh(t *testing.T, members []*member) {
	started := model.Now()
	waitFor(t, 10*time.Second, "four seconds", func() bool {
		for _, m := range members {
			require.Truef(t, m.Fresh(model.Now()), "%s is not fresh", m.self)
		}
		return model.Now().Sub(started) > 4*time.Second
	})
}

// TestRestartOnSameAddressWithEarlierClock kills a balancer and an agent and
// starts each again at its address with a lower incarnation, as a node does whose
// wall clock has stepped back. The others must replace the old record.
func TestRestartOnSameAddressWithEarlierClock(t *testing.T) {
	s := newSecrets(t)
	all, names := startFleet(t, s, 3, 2, memberConfig{})
	waitFor(t, 5*time.Second, "all see all", func() bool { return sees(all, names...) })
	for _, i := range []int{1, 4} {
		before, _ := all[0].View().Find(names[i])
		config := memberConfig{
			name: names[i], service: before.Service, listen: before.Control.String(), incarnation: 7,
			seeds: []netip.AddrPort{all[0].addr()},
		}
		all[i].kill()
		all[i] = s.start(t, config)
		waitFor(t, 3*time.Second, "the new incarnation is seen", func() bool {
			for _, m := range all {
				seen, found := m.View().Find(names[i])
				if !found || seen.Incarnation <= before.Incarnation {
					return false
				}
			}
			return true
		})
	}
	waitFor(t, 3*time.Second, "all see all again", func() bool { return sees(all, names...) })
}

// TestOneWayPartitionMarksNoNodeDown lets a node send, but receive only
// replies: its watchers receive its heartbeats, and it receives none from the
// nodes that it watches. No view may lose a node.
func TestOneWayPartitionMarksNoNodeDown(t *testing.T) {
	s := newSecrets(t)
	all, names := startFleet(t, s, 3, 2, memberConfig{})
	waitFor(t, 5*time.Second, "all see all", func() bool { return sees(all, names...) })
	for _, i := range []int{2, 3} {
		all[i].listener.blocked.Store(true)
		started := model.Now()
		waitFor(t, 10*time.Second, "five seconds", func() bool {
			for _, m := range all {
				require.Lenf(t, m.View().Records, len(names), "view of %s while %s is partitioned", m.self, names[i])
			}
			return model.Now().Sub(started) > 5*time.Second
		})
		all[i].listener.blocked.Store(false)
	}
}

// The environment variables that pass the seed address and the certificate with
// its key to a child process.
const (
	childSeed   = "BALSAM_TEST_SEED"
	childSecret = "BALSAM_TEST_SECRET"
)

// TestMain runs the test binary as a balancer if the environment of the parent
// process requests it.
func TestMain(m *testing.M) {
	if seed := os.Getenv(childSeed); seed != "" {
		runChild(seed, os.Getenv(childSecret))
		return
	}
	os.Exit(m.Run())
}

// TestPausedBalancerIsNotFreshWithOldDocuments stops a process while a change
// is accepted and the platform goes down, then resumes it. It must not report
// freshness with the old revision.
func TestPausedBalancerIsNotFreshWithOldDocuments(t *testing.T) {
	s := newSecrets(t)
	store := newFakePlatform()
	store.accept(t, 1)
	all, _ := startFleet(t, s, 2, 0, memberConfig{platform: store})
	child := startChild(t, s, all[0].addr())
	waitFor(t, 10*time.Second, "all know revision 1", func() bool {
		return sees(all, "lb-0", "lb-1", "child") && allFresh(all, 1)() && child.lastFresh() > 0
	})
	require.NoError(t, child.process.Signal(syscall.SIGSTOP))
	store.accept(t, 2)
	accepted := model.Now()
	waitFor(t, 3*time.Second, "revision 2", allFresh(all, 2))
	store.down.Store(true)
	waitFor(t, 10*time.Second, "five seconds after the change", func() bool {
		return model.Now().Sub(accepted) > 5*time.Second
	})
	resumed := model.Now()
	require.NoError(t, child.process.Signal(syscall.SIGCONT))
	waitFor(t, 10*time.Second, "the child is back with revision 2", func() bool {
		record, found := all[0].View().Find("child")
		return found && reportsFresh(all[0], record, 2)
	})
	last := child.lastFresh()
	require.Less(t, last, resumed, "fresh with revision 1 after the pause")
	require.Less(t, last.Sub(accepted), 3*time.Second)
}

// reportsFresh reports whether a node answers a ping as fresh with a revision.
func reportsFresh(from *member, peer membership.Record, revision model.Revision) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	reply, err := rpc.Call[PingRequest, PingReply](ctx, from.client, peer.Control, rpc.MethodPing, PingRequest{})
	_, verified := reply.age()
	return err == nil && verified && reply.Revisions[model.DocumentOutOfService] == revision
}

// childProcess is a balancer that runs in a separate process.
type childProcess struct {
	process *os.Process
	in      *bufio.Writer
	out     *bufio.Scanner
}

func startChild(t *testing.T, s secrets, seed netip.AddrPort) *childProcess {
	key, err := x509.MarshalECPrivateKey(s.certificate.PrivateKey.(*ecdsa.PrivateKey))
	require.NoError(t, err)
	secret := hex.EncodeToString(key) + " " + hex.EncodeToString(s.certificate.Certificate[0])
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childSeed+"="+seed.String(), childSecret+"="+secret)
	command.Stderr = os.Stderr
	in, err := command.StdinPipe()
	require.NoError(t, err)
	out, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		command.Process.Kill()
		command.Wait()
	})
	return &childProcess{process: command.Process, in: bufio.NewWriter(in), out: bufio.NewScanner(out)}
}

// lastFresh asks the child when it was last fresh with revision 1. The clock of
// model.Now is that of the machine, so the parent can compare the answer with its
// own instants. It returns 0 if the child never was or does not answer.
func (c *childProcess) lastFresh() model.Instant {
	fmt.Fprintln(c.in, "report")
	c.in.Flush()
	if !c.out.Scan() {
		return 0
	}
	var last model.Instant
	fmt.Sscan(c.out.Text(), &last)
	return last
}

// childT replaces testing.T in the child process.
type childT struct{}

func (childT) Errorf(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
func (childT) FailNow()                          { os.Exit(1) }

func runChild(seed, secret string) {
	keyHex, derHex, _ := strings.Cut(secret, " ")
	keyDER, _ := hex.DecodeString(keyHex)
	der, _ := hex.DecodeString(derHex)
	key, err := x509.ParseECPrivateKey(keyDER)
	require.NoError(childT{}, err)
	s := secretsOf(childT{}, der, key)
	config := memberConfig{name: "child", seeds: []netip.AddrPort{netip.MustParseAddrPort(seed)}}
	node, stop := s.run(childT{}, config)
	defer stop()
	var last atomic.Int64
	go watchFreshness(node.Node, &last)
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		fmt.Println(last.Load())
	}
}

// watchFreshness checks freshness repeatedly, as a traffic goroutine does.
func watchFreshness(node *Node, last *atomic.Int64) {
	for {
		now := model.Now()
		if node.Fresh(now) && node.Revisions()[model.DocumentOutOfService] == 1 {
			last.Store(int64(now))
		}
		time.Sleep(100 * time.Microsecond)
	}
}
