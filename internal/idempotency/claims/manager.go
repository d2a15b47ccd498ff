// Package claims claims the idempotency keys of an agent's service. To package
// idempotency it adds the calls to other agents and the storage of the replica set
// in the platform. It implements request.Claims.
//
// The platform's key and log events that begin with "booking", and the words
// "roster" and "homes" in log events, log fields and error texts, are names that
// operators search for: they mean idempotency keys, replica set and replicas.
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

// Error is the class of all errors of this package.
var Error = errs.Class("claims")

const (
	callTimeout = time.Second
	// maxRecords and maxAnswerBytes limit the memory that one agent uses for a
	// replica set.
	maxRecords     = 100_000
	maxAnswerBytes = 16 << 20
	// replicaBacklog is the number of messages that may wait for this agent's
	// replica.
	replicaBacklog = 256
	// maxOutcomeSends is the number of outcomes that may be in transit at once.
	// Further ones are not sent.
	maxOutcomeSends = 256
)

// Directory lists the agents of the manager's service.
type Directory interface {
	// Members returns the agents that accept requests, including this one.
	Members() []idempotency.Member
}

// Config holds the dependencies of a Manager.
type Config struct {
	Self      idempotency.Member
	Service   model.Service
	Store     platform.Store
	Directory Directory
	Client    *rpc.Client
	Log       *logrus.Entry
}

// message passes a request to the goroutine that owns this agent's replica.
type message struct {
	request idempotency.Request
	reply   chan idempotency.Response
}

// Manager claims keys and runs this agent's replica of them. All methods are safe
// for concurrent use.
type Manager struct {
	config     Config
	replicaSet atomic.Pointer[idempotency.ReplicaSet]
	messages   chan message
	// wake makes the controller look for a newer replica set. replaceRequested
	// makes it replace the replica set even if the members are the desired ones: a
	// replica has lost its records, or is sealed and no newer set is known.
	wake             chan struct{}
	replaceRequested atomic.Bool
	leaving          atomic.Bool
	done             chan struct{}
	closeOnce        sync.Once
	running          sync.WaitGroup
	// outcomeSlots is a semaphore: it holds one element for each outcome in transit.
	outcomeSlots chan struct{}
	controller   *controller
}

// New returns a manager. Call Register with the agent's server, then Start.
func New(config Config) *Manager {
	m := &Manager{
		config:       config,
		messages:     make(chan message, replicaBacklog),
		wake:         make(chan struct{}, 1),
		done:         make(chan struct{}),
		outcomeSlots: make(chan struct{}, maxOutcomeSends),
	}
	m.replicaSet.Store(&idempotency.ReplicaSet{})
	m.controller = newController(m)
	return m
}

// Register adds the manager's handlers to a server.
func (m *Manager) Register(server *rpc.Server) {
	handler := rpc.TypedHandler(func(ctx context.Context, _ rpc.Peer, request idempotency.Request) (idempotency.Response, error) {
		if request.Service != m.config.Service {
			return idempotency.Response{}, Error.New("this agent serves %s, not %s", m.config.Service, request.Service)
		}
		return m.callLocal(ctx, request)
	})
	server.Handle(rpc.MethodClaimKey, handler)
	server.Handle(rpc.MethodReportOutcome, handler)
}

// Start starts the manager's goroutines.
func (m *Manager) Start() {
	m.running.Go(m.runReplica)
	m.running.Go(m.controller.run)
}

// Leave transfers this agent's keys to other agents. It returns when this agent is
// no longer a replica, when there is no other agent, or with an error when the
// context ends.
func (m *Manager) Leave(ctx context.Context) error {
	m.leaving.Store(true)
	for m.isReplica() && len(m.members()) > 0 {
		m.requestRefresh()
		select {
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Close stops the manager's goroutines and waits for them.
func (m *Manager) Close() {
	m.closeOnce.Do(func() { close(m.done) })
	m.running.Wait()
}

func (m *Manager) isReplica() bool {
	for _, member := range m.replicaSet.Load().Members {
		if member.Node == m.config.Self.Node {
			return true
		}
	}
	return false
}

// members returns the agents that may be replicas.
func (m *Manager) members() []idempotency.Member {
	var members []idempotency.Member
	for _, member := range m.config.Directory.Members() {
		if member.Node != m.config.Self.Node {
			members = append(members, member)
		}
	}
	if !m.leaving.Load() {
		members = append(members, m.config.Self)
	}
	return members
}

// requestRefresh makes the controller look for a newer replica set.
func (m *Manager) requestRefresh() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// adopt reports whether a replica set in force is newer than the known one. If it
// is, it becomes the known one, and a requested replacement is cancelled.
func (m *Manager) adopt(set idempotency.ReplicaSet) bool {
	for {
		known := m.replicaSet.Load()
		if set.ID.Epoch <= known.ID.Epoch {
			return false
		}
		if m.replicaSet.CompareAndSwap(known, &set) {
			m.replaceRequested.Store(false)
			m.config.Log.WithFields(logrus.Fields{"epoch": set.ID.Epoch, "homes": len(set.Members)}).
				Info("event=booking_roster")
			return true
		}
	}
}

func (m *Manager) runReplica() {
	replica := idempotency.NewReplica(idempotency.Limits{Records: maxRecords, AnswerBytes: maxAnswerBytes}, idempotency.IncarnationID(randomID()))
	for {
		select {
		case <-m.done:
			return
		case msg := <-m.messages:
			msg.reply <- replica.Handle(model.Now(), msg.request)
			m.adopt(replica.NewestSet())
		}
	}
}

// callLocal sends a message to this agent's own replica.
func (m *Manager) callLocal(ctx context.Context, request idempotency.Request) (idempotency.Response, error) {
	msg := message{request: request, reply: make(chan idempotency.Response, 1)}
	select {
	case m.messages <- msg:
	case <-ctx.Done():
		return idempotency.Response{}, Error.Wrap(ctx.Err())
	case <-m.done:
		return idempotency.Response{}, Error.New("the replica of this agent is closed")
	}
	select {
	case response := <-msg.reply:
		response.Leaving = m.leaving.Load()
		return response, nil
	case <-m.done:
		return idempotency.Response{}, Error.New("the replica of this agent is closed")
	}
}

// call sends a message to a member, which may be this agent, and returns its
// answer. Outcomes and releases go by rpc.MethodReportOutcome, all other operations
// by rpc.MethodClaimKey.
func (m *Manager) call(ctx context.Context, call idempotency.Call) (idempotency.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if call.To.Node == m.config.Self.Node {
		return m.callLocal(ctx, call.Request)
	}
	call.Request.Service = m.config.Service
	method := rpc.MethodClaimKey
	if call.Request.Op == idempotency.OpOutcome || call.Request.Op == idempotency.OpRelease {
		method = rpc.MethodReportOutcome
	}
	response, err := rpc.Call[idempotency.Request, idempotency.Response](ctx, m.config.Client, call.To.Control, method, call.Request)
	return response, Error.Wrap(err)
}

func randomID() [16]byte {
	var out [16]byte
	_, _ = rand.Read(out[:]) // crypto/rand never fails
	return out
}
