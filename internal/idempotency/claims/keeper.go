// Package claims keeps the idempotency keys of an agent's service: it is the
// shell around package booking, with calls to other agents and the roster in
// the platform. It implements request.Claims.
package claims

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/idempotency"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("claims")

const (
	callTimeout = time.Second
	// maxRecords and maxAnswerBytes bound what one agent keeps for a roster.
	maxRecords     = 100_000
	maxAnswerBytes = 16 << 20
	// homeBacklog is the number of messages that may wait for the home.
	homeBacklog = 256
	// maxSettling is the number of outcomes that are sent at once.
	maxSettling = 256
)

// Directory knows the agents of the service.
type Directory interface {
	// Members returns the agents that take work, this one included.
	Members() []idempotency.Member
}

// Config holds the parts of a Keeper.
type Config struct {
	Self      idempotency.Member
	Service   model.Service
	Store     platform.Store
	Directory Directory
	Client    *rpc.Client
	Log       *logrus.Entry
}

// message is one message to the goroutine that owns the home.
type message struct {
	request idempotency.Request
	reply   chan idempotency.Response
}

// Manager is one agent's part in keeping keys. All methods are safe for
// concurrent use.
type Manager struct {
	config   Config
	roster   atomic.Pointer[idempotency.Roster]
	messages chan message
	// kick asks the control goroutine to look for a newer roster; unwell tells
	// it that a home has lost its memory.
	kick     chan struct{}
	unwell   atomic.Bool
	leaving  atomic.Bool
	done     chan struct{}
	closing  sync.Once
	running  sync.WaitGroup
	settling chan struct{}
	rosters  *rosters
}

// New makes a keeper. Register it with the agent's server, then Start it.
func New(config Config) *Manager {
	k := &Manager{
		config:   config,
		messages: make(chan message, homeBacklog),
		kick:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		settling: make(chan struct{}, maxSettling),
	}
	k.roster.Store(&idempotency.Roster{})
	k.rosters = newRosters(k)
	return k
}

// Register adds the keeper's handlers to a server.
func (k *Manager) Register(server *rpc.Server) {
	serve := rpc.TypedHandler(func(ctx context.Context, _ rpc.Peer, request idempotency.Request) (idempotency.Response, error) {
		if request.Service != k.config.Service {
			return idempotency.Response{}, Error.New("this agent serves %s, not %s", k.config.Service, request.Service)
		}
		return k.local(ctx, request)
	})
	server.Handle(rpc.MethodClaimKey, serve)
	server.Handle(rpc.MethodReportOutcome, serve)
}

// Start begins the keeper's work.
func (k *Manager) Start() {
	k.running.Go(k.runHome)
	k.running.Go(k.rosters.run)
}

// Leave moves this agent's keys to other agents. It returns when it is no home
// any more, when there is no other agent, or when the context ends.
func (k *Manager) Leave(ctx context.Context) error {
	k.leaving.Store(true)
	for k.isHome() && len(k.members()) > 0 {
		k.look()
		select {
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Close ends the keeper's work.
func (k *Manager) Close() {
	k.closing.Do(func() { close(k.done) })
	k.running.Wait()
}

func (k *Manager) isHome() bool {
	for _, member := range k.roster.Load().Members {
		if member.Node == k.config.Self.Node {
			return true
		}
	}
	return false
}

// members returns the agents that may be homes.
func (k *Manager) members() []idempotency.Member {
	var members []idempotency.Member
	for _, member := range k.config.Directory.Members() {
		if member.Node != k.config.Self.Node {
			members = append(members, member)
		}
	}
	if !k.leaving.Load() {
		members = append(members, k.config.Self)
	}
	return members
}

func (k *Manager) look() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// adopt takes note of a roster in force and reports whether it is a newer one.
func (k *Manager) adopt(roster idempotency.Roster) bool {
	for {
		known := k.roster.Load()
		if roster.ID.Epoch <= known.ID.Epoch {
			return false
		}
		if k.roster.CompareAndSwap(known, &roster) {
			k.unwell.Store(false)
			k.config.Log.WithFields(logrus.Fields{"epoch": roster.ID.Epoch, "homes": len(roster.Members)}).
				Info("event=booking_roster")
			return true
		}
	}
}

func (k *Manager) runHome() {
	home := idempotency.NewHome(idempotency.Limits{Records: maxRecords, AnswerBytes: maxAnswerBytes}, idempotency.Boot(random()))
	for {
		select {
		case <-k.done:
			return
		case m := <-k.messages:
			m.reply <- home.Handle(model.Now(), m.request)
			k.adopt(home.Newest())
		}
	}
}

// local passes a message to this agent's own home.
func (k *Manager) local(ctx context.Context, request idempotency.Request) (idempotency.Response, error) {
	m := message{request: request, reply: make(chan idempotency.Response, 1)}
	select {
	case k.messages <- m:
	case <-ctx.Done():
		return idempotency.Response{}, Error.Wrap(ctx.Err())
	case <-k.done:
		return idempotency.Response{}, Error.New("the home is closed")
	}
	select {
	case response := <-m.reply:
		response.Leaving = k.leaving.Load()
		return response, nil
	case <-k.done:
		return idempotency.Response{}, Error.New("the home is closed")
	}
}

func (k *Manager) call(ctx context.Context, call idempotency.Call) (idempotency.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if call.To.Node == k.config.Self.Node {
		return k.local(ctx, call.Request)
	}
	call.Request.Service = k.config.Service
	method := rpc.MethodClaimKey
	if call.Request.Op == idempotency.OpOutcome || call.Request.Op == idempotency.OpRelease {
		method = rpc.MethodReportOutcome
	}
	response, err := rpc.Call[idempotency.Request, idempotency.Response](ctx, k.config.Client, call.To.Control, method, call.Request)
	return response, Error.Wrap(err)
}

func random() [16]byte {
	var out [16]byte
	_, _ = rand.Read(out[:]) // crypto/rand never fails
	return out
}
