// Package site simulates the platform of a deployment of the packet path on loopback
// addresses: the key-value service, the fabric's routers, targets and clients of the
// flow protocol, and the operators' changes. It runs balancers and agents as real
// processes and checks the packets that clients and targets receive.
package site

import (
	"cmp"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/balsamlink/balsamlink/platform/wire"
)

const (
	// pageSize is the number of items in one page.
	pageSize = 500
	// historySize is the number of past changes kept for watches.
	historySize = 4096
	// noResponseTimeout bounds how long a call without a response is held open.
	noResponseTimeout = 30 * time.Second
)

// Fault is how the store fails a call.
type Fault uint8

// The faults.
const (
	// FaultNone lets the call succeed.
	FaultNone Fault = iota
	// FaultUnavailable responds with status 503 without running the call.
	FaultUnavailable
	// FaultTooManyRequests responds with status 429 without running the call.
	FaultTooManyRequests
	// FaultReset resets the connection without running the call.
	FaultReset
	// FaultNoResponse neither runs the call nor responds to it.
	FaultNoResponse
	// FaultResponseLost runs the call but does not respond to it.
	FaultResponseLost
)

type lease struct {
	ttl time.Duration
	// end is when the lease expires unless it is kept alive.
	end time.Time
}

// Store simulates the key-value service in memory. All methods are safe for
// concurrent use.
type Store struct {
	mu sync.Mutex
	// rev is the revision of the newest change.
	rev   uint64
	items map[string]wire.Item
	// history holds the newest changes in the order of their revisions.
	history []wire.Item
	// compactedRev is the newest revision that was dropped from the history.
	compactedRev uint64
	leases       map[uint64]*lease
	lastLease    uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	calls   int
	// fault selects the fault of a call; nil stands for no faults.
	fault func(caller net.IP, write bool) Fault
	delay time.Duration
	// watchesSilent suppresses the events of watches.
	watchesSilent bool
}

// NewStore returns an empty store at revision 1.
func NewStore() *Store {
	return &Store{rev: 1, items: map[string]wire.Item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// SetFault sets the function that selects the fault of each call; nil stands for no
// faults. Its argument write is true for transactions and for grants of leases.
func (s *Store) SetFault(fault func(caller net.IP, write bool) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetDelay delays the handling of every call.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// SetWatchesSilent sets whether watches report no events. Calls to them still
// succeed, so that callers don't see a failure.
func (s *Store) SetWatchesSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesSilent = silent
}

// Compact drops the history: watches from an earlier revision get status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRev = nil, s.rev
	s.notifyWatches()
}

// ExpireLeases ends all leases and deletes their keys.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// Calls returns the number of calls received so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Write writes a key as the operators do, without faults and permission checks. A
// nil value deletes the key.
func (s *Store) Write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if value == nil {
		s.delete(key)
	} else {
		s.put(wire.Put{Key: key, Value: value})
	}
}

// Keys returns the keys under a prefix, in no order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	write := r.URL.Path == wire.PathTxn || r.URL.Path == wire.PathLease
	fault, delay := s.beginCall(r, write)
	time.Sleep(delay)
	switch fault {
	case FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case FaultTooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case FaultReset:
		resetConnection(w)
	case FaultNoResponse:
		holdCall(r)
	case FaultResponseLost:
		s.serve(&discardWriter{header: http.Header{}}, r)
		holdCall(r)
	default:
		s.serve(w, r)
	}
}

// beginCall counts a call and returns the fault and the delay that apply to it.
func (s *Store) beginCall(r *http.Request, write bool) (Fault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.fault == nil {
		return FaultNone, s.delay
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return FaultReset, 0
	}
	return s.fault(net.ParseIP(host), write), s.delay
}

// discardWriter discards the response to a call whose response is to be lost.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header            { return d.header }
func (d *discardWriter) Write(body []byte) (int, error) { return len(body), nil }
func (d *discardWriter) WriteHeader(int)                {}

// holdCall blocks until the caller closes the connection or noResponseTimeout has
// passed.
func holdCall(r *http.Request) {
	// The server detects the end of the connection only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-time.After(noResponseTimeout):
	}
}

func resetConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch {
	case r.URL.Path == wire.PathKey:
		s.serveKey(w, query.Get(wire.QueryKey))
	case r.URL.Path == wire.PathRange:
		s.serveRange(w, query.Get(wire.QueryPrefix), query.Get(wire.QueryAfter))
	case r.URL.Path == wire.PathWatch:
		s.serveWatch(w, r)
	case r.URL.Path == wire.PathTxn:
		s.serveTxn(w, r)
	case r.URL.Path == wire.PathLease:
		s.serveLease(w, r)
	case strings.HasPrefix(r.URL.Path, wire.PathKeepAlive):
		s.serveKeepAlive(w, strings.TrimPrefix(r.URL.Path, wire.PathKeepAlive))
	case strings.HasPrefix(r.URL.Path, wire.PathLeaseEnd):
		s.serveLeaseEnd(w, strings.TrimPrefix(r.URL.Path, wire.PathLeaseEnd))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	s.expire()
	item, known := s.items[key]
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, item)
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	s.expire()
	page := wire.Page{CurrentRev: s.rev}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(page.Items, func(a, b wire.Item) int { return cmp.Compare(a.Key, b.Key) })
	if len(page.Items) > pageSize {
		page.Items, page.HasMore = page.Items[:pageSize], true
	}
	respond(w, http.StatusOK, page)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get(wire.QueryAfter), 10, 64)
	millis, waitErr := strconv.Atoi(query.Get(wire.QueryWait))
	// The service accepts waits of up to 30 s.
	if err != nil || waitErr != nil || millis > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(millis) * time.Millisecond)
	for {
		page, gone, changed := s.eventsAfter(query.Get(wire.QueryPrefix), after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(page.Events) > 0 {
			respond(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			respond(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the events after a revision, whether that revision has been
// compacted, and a channel that is closed at the next change.
func (s *Store) eventsAfter(prefix string, after uint64) (wire.Page, bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	page := wire.Page{CurrentRev: s.rev}
	if after < s.compactedRev {
		return page, true, s.changed
	}
	for _, event := range s.history {
		if !s.watchesSilent && event.Rev > after && strings.HasPrefix(event.Key, prefix) {
			page.Events = append(page.Events, event)
		}
	}
	return page, false, s.changed
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body wire.Transaction
	// The limit applies to the expectations, writes and deletions together.
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Expected)+len(body.Puts)+len(body.Delete) > wire.MaxExpected {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status, committed := s.commit(body)
	s.mu.Unlock()
	respond(w, status, committed)
}

// commit runs a transaction and returns the status and the body of the response.
// The caller holds s.mu.
func (s *Store) commit(body wire.Transaction) (int, wire.Committed) {
	s.expire()
	var items []wire.Item
	failed := false
	for _, expected := range body.Expected {
		item, known := s.items[expected.Key]
		failed = failed || item.Rev != expected.Rev
		if known {
			items = append(items, item)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, wire.Committed{Items: items}
	}
	for _, put := range body.Puts {
		if strings.HasPrefix(put.Key, wire.PrefixOperators) {
			return http.StatusForbidden, wire.Committed{}
		}
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			return http.StatusNotFound, wire.Committed{}
		}
	}
	for _, put := range body.Puts {
		s.put(put)
	}
	for _, key := range body.Delete {
		s.delete(key)
	}
	return http.StatusOK, wire.Committed{Rev: s.rev}
}

func (s *Store) put(put wire.Put) {
	s.rev++
	item := wire.Item{Key: put.Key, Value: put.Value, Rev: s.rev, CreatedRev: s.rev, Lease: put.Lease}
	if before, known := s.items[put.Key]; known {
		item.CreatedRev = before.CreatedRev
	}
	s.items[put.Key] = item
	s.appendEvent(item)
}

func (s *Store) delete(key string) {
	if _, known := s.items[key]; known {
		s.rev++
		delete(s.items, key)
		s.appendEvent(wire.Item{Key: key, Rev: s.rev, Tombstone: true})
	}
}

func (s *Store) appendEvent(event wire.Item) {
	s.history = append(s.history, event)
	if len(s.history) > historySize {
		s.compactedRev = s.history[0].Rev
		s.history = s.history[1:]
	}
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose TTL has passed. The caller holds s.mu.
func (s *Store) expire() {
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.end) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys. The caller holds s.mu.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.delete(key)
		}
	}
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body wire.LeaseTerms
	// The service grants leases of at least 1 s.
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTLMillis < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(body.TTLMillis) * time.Millisecond
	s.mu.Lock()
	s.lastLease++
	body.Lease = s.lastLease
	s.leases[body.Lease] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	s.mu.Unlock()
	respond(w, http.StatusOK, body)
}

func (s *Store) serveKeepAlive(w http.ResponseWriter, id string) {
	number, err := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	s.expire()
	granted := s.leases[number]
	if granted != nil {
		granted.end = time.Now().Add(granted.ttl)
	}
	s.mu.Unlock()
	if err != nil || granted == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, wire.LeaseTerms{TTLMillis: granted.ttl.Milliseconds()})
}

func (s *Store) serveLeaseEnd(w http.ResponseWriter, id string) {
	number, err := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || s.leases[number] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(number)
	respond(w, http.StatusOK, struct{}{})
}
