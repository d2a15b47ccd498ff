package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	api "github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/platform/kvproto"
	"github.com/balsamlink/balsamlink/internal/strictjson"
)

// Error is the class of all errors of this package.
var Error = errs.Class("stand-in platform")

// The control paths for tests. Package kvproto defines those of the protocol.
const (
	// PathFaults replaces the injected faults (PUT).
	PathFaults = "/admin/faults"
	// PathCalls returns the Calls (GET).
	PathCalls = "/admin/calls"
)

const (
	// maxKeyLength is the maximum length of a key, in bytes.
	maxKeyLength = 512
	// maxWait is the longest time that a watch waits.
	maxWait = time.Minute
)

var errInvalidCall = errs.New("bad call")

// Service is the stand-in for the platform's key-value service. It is an
// http.Handler and safe for concurrent use.
type Service struct {
	store  *store
	filter *callFilter
	mux    *http.ServeMux
}

// New returns a service without entries or leases.
func New() *Service {
	s := &Service{store: newStore(), filter: newCallFilter(), mux: http.NewServeMux()}
	s.handleRead("GET "+kvproto.PathEntry, "get", s.get)
	s.handleRead("GET "+kvproto.PathList, "list", s.list)
	s.handleRead("GET "+kvproto.PathWatch, "watch", s.watch)
	s.handleWrite("PUT "+kvproto.PathEntry, "put", s.put)
	s.handleWrite("DELETE "+kvproto.PathEntry, "delete", s.remove)
	s.handleWrite("POST "+kvproto.PathLeases, "grant", s.grant)
	s.handleWrite("POST "+kvproto.PathLease, "keep_alive", s.keepAlive)
	s.handleWrite("DELETE "+kvproto.PathLease, "revoke", s.revoke)
	s.mux.HandleFunc("PUT "+PathFaults, s.putFaults)
	s.mux.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Calls())
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Inject replaces the active faults.
func (s *Service) Inject(faults Faults) {
	s.filter.inject(faults)
	if faults.ExpireLeases {
		s.store.expireAllLeases()
	}
}

// Calls returns a copy of the counters.
func (s *Service) Calls() Calls { return s.filter.snapshot() }

// callHandler runs one call and returns the body of its response.
type callHandler func(r *http.Request) (any, error)

func (s *Service) handleRead(pattern, kind string, handler callHandler) {
	s.handle(pattern, kind, false, handler)
}

func (s *Service) handleWrite(pattern, kind string, handler callHandler) {
	s.handle(pattern, kind, true, handler)
}

// handle registers a handler of calls. Before it runs, each call passes the filter.
func (s *Service) handle(pattern, kind string, write bool, handler callHandler) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if !s.filter.countCall(kind, r.Header.Get(kvproto.HeaderCaller), write) {
			writeJSON(w, http.StatusTooManyRequests, kvproto.ErrorResponse{Error: "over the stated rate"})
			return
		}
		// net/http cancels the context of a disconnected caller only after the body
		// has been read.
		if err := bufferBody(w, r); err != nil {
			writeJSON(w, statusOf(err), kvproto.ErrorResponse{Error: err.Error()})
			return
		}
		if !s.filter.applyFaults(r.Context()) {
			writeJSON(w, http.StatusServiceUnavailable, kvproto.ErrorResponse{Error: "outage"})
			return
		}
		result, err := handler(r)
		if write && s.filter.takeResponseDrop() {
			// net/http closes the connection without a response.
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			writeJSON(w, statusOf(err), kvproto.ErrorResponse{Error: err.Error()})
			return
		}
		if entry, ok := result.(api.Entry); ok {
			w.Header().Set("ETag", kvproto.FormatETag(entry.Version))
		}
		writeJSON(w, http.StatusOK, result)
	})
}

// bufferBody reads the body of a request into memory.
func bufferBody(w http.ResponseWriter, r *http.Request) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, kvproto.MaxBody))
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

func statusOf(err error) int {
	var oversized *http.MaxBytesError
	switch {
	case errors.Is(err, api.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, api.ErrConflict):
		return http.StatusPreconditionFailed
	case errors.Is(err, api.ErrLeaseExpired):
		return http.StatusGone
	case errors.Is(err, api.ErrTooLarge), errors.As(err, &oversized):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, api.ErrUnavailable):
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only when the caller is gone.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Service) get(r *http.Request) (any, error) {
	return s.store.get(r.URL.Query().Get(kvproto.QueryKey))
}

func (s *Service) list(r *http.Request) (any, error) {
	return kvproto.Listing{Entries: s.store.list(r.URL.Query().Get(kvproto.QueryPrefix))}, nil
}

func (s *Service) put(r *http.Request) (any, error) {
	key := r.URL.Query().Get(kvproto.QueryKey)
	if key == "" || len(key) > maxKeyLength {
		return nil, Error.New("%w: key of %d bytes; allowed: 1 to %d", errInvalidCall, len(key), maxKeyLength)
	}
	expect, err := expectedVersion(r.Header)
	if err != nil {
		return nil, err
	}
	var write kvproto.Write
	if err := decodeBody(r, &write); err != nil {
		return nil, err
	}
	version, err := s.store.put(api.Write{Key: key, Value: write.Value, Expect: expect, Lease: write.Lease})
	return kvproto.Written{Version: version}, err
}

func (s *Service) remove(r *http.Request) (any, error) {
	expect, err := expectedVersion(r.Header)
	if err != nil {
		return nil, err
	}
	return struct{}{}, s.store.remove(r.URL.Query().Get(kvproto.QueryKey), expect)
}

func (s *Service) watch(r *http.Request) (any, error) {
	after, err := queryNumber(r, kvproto.QueryAfter)
	if err != nil {
		return nil, err
	}
	wait, err := queryNumber(r, kvproto.QueryWait)
	if err != nil {
		return nil, err
	}
	timeout := min(time.Duration(wait)*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	return s.waitForChange(ctx, r.URL.Query().Get(kvproto.QueryPrefix), api.Version(after))
}

// waitForChange returns the changes under prefix after a version, or none when ctx
// ends first. It fails when faults are injected, because an outage also ends
// pending watches.
func (s *Service) waitForChange(ctx context.Context, prefix string, after api.Version) (any, error) {
	_, faultsChanged := s.filter.currentFaults()
	for {
		result, changed := s.store.changeSince(prefix, after)
		if result.Changed {
			return result, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return result, nil
		case <-faultsChanged:
			return nil, api.ErrUnavailable
		}
	}
}

func (s *Service) grant(r *http.Request) (any, error) {
	var grant kvproto.Grant
	if err := decodeBody(r, &grant); err != nil {
		return nil, err
	}
	ttl := time.Duration(grant.TTLMillis) * time.Millisecond
	if grant.TTLMillis > maxTTL.Milliseconds() || ttl < minTTL {
		return nil, Error.New("%w: ttl_ms %d; allowed: %d to %d", errInvalidCall, grant.TTLMillis,
			minTTL.Milliseconds(), maxTTL.Milliseconds())
	}
	lease, err := s.store.grant(ttl)
	return kvproto.Granted{Lease: lease}, err
}

func (s *Service) keepAlive(r *http.Request) (any, error) {
	lease, err := queryNumber(r, kvproto.QueryLease)
	if err != nil {
		return nil, err
	}
	return struct{}{}, s.store.keepAlive(api.LeaseID(lease))
}

func (s *Service) revoke(r *http.Request) (any, error) {
	lease, err := queryNumber(r, kvproto.QueryLease)
	if err != nil {
		return nil, err
	}
	s.store.endLease(api.LeaseID(lease))
	return struct{}{}, nil
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, kvproto.MaxBody))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, kvproto.ErrorResponse{Error: err.Error()})
		return
	}
	faults, err := strictjson.Decode[Faults](text)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, kvproto.ErrorResponse{Error: err.Error()})
		return
	}
	s.Inject(faults)
	writeJSON(w, http.StatusOK, faults)
}

// expectedVersion returns the version that an entry must have for a conditional
// write; 0 stands for a missing entry.
func expectedVersion(header http.Header) (api.Version, error) {
	if header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	version, err := kvproto.ParseETag(header.Get("If-Match"))
	if err != nil {
		return 0, Error.New("%w: If-Match or If-None-Match: *: %v", errInvalidCall, err)
	}
	return version, nil
}

func decodeBody(r *http.Request, body any) error {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		return Error.New("%w: body: %w", errInvalidCall, err)
	}
	return nil
}

func queryNumber(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	value, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, Error.New("%w: %s %q; allowed: a whole number", errInvalidCall, name, text)
	}
	return value, nil
}
