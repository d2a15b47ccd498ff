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

	edge "github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/platform/kvproto"
	"github.com/balsamlink/balsamlink/internal/strictjson"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("stand-in platform")

// The paths for tests, beside those of the protocol.
const (
	// PathFaults replaces the injected faults (PUT).
	PathFaults = "/admin/faults"
	// PathCalls shows the counted calls (GET).
	PathCalls = "/admin/calls"
)

const (
	maxKeyLength = 512
	maxWait      = time.Minute
)

var errBadCall = errs.New("bad call")

// Service is the stand-in. It is an http.Handler.
type Service struct {
	store *store
	gate  *gate
	pages *http.ServeMux
}

// New makes an empty service.
func New() *Service {
	s := &Service{store: newStore(), gate: newGate(), pages: http.NewServeMux()}
	s.read("GET "+kvproto.PathEntry, "get", s.get)
	s.read("GET "+kvproto.PathList, "list", s.list)
	s.read("GET "+kvproto.PathWatch, "watch", s.watch)
	s.write("PUT "+kvproto.PathEntry, "put", s.put)
	s.write("DELETE "+kvproto.PathEntry, "delete", s.remove)
	s.write("POST "+kvproto.PathLeases, "grant", s.grant)
	s.write("POST "+kvproto.PathLease, "keep_alive", s.keepAlive)
	s.write("DELETE "+kvproto.PathLease, "revoke", s.revoke)
	s.pages.HandleFunc("PUT "+PathFaults, s.putFaults)
	s.pages.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, s.Calls())
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.pages.ServeHTTP(w, r) }

// Inject replaces the present faults.
func (s *Service) Inject(faults Faults) {
	s.gate.inject(faults)
	if faults.ExpireLeases {
		s.store.lapse()
	}
}

// Calls returns the calls so far.
func (s *Service) Calls() Calls { return s.gate.counted() }

// serve carries out one call and returns its answer.
type serve func(r *http.Request) (any, error)

func (s *Service) read(pattern, kind string, serve serve) { s.handle(pattern, kind, false, serve) }

func (s *Service) write(pattern, kind string, serve serve) { s.handle(pattern, kind, true, serve) }

func (s *Service) handle(pattern, kind string, write bool, serve serve) {
	s.pages.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if !s.gate.count(kind, r.Header.Get(kvproto.HeaderCaller), write) {
			answer(w, http.StatusTooManyRequests, kvproto.Fault{Error: "over the stated rate"})
			return
		}
		// The server notices that a caller went away only once the body is read.
		if err := buffer(w, r); err != nil {
			answer(w, statusOf(err), kvproto.Fault{Error: err.Error()})
			return
		}
		if !s.gate.pass(r.Context()) {
			answer(w, http.StatusServiceUnavailable, kvproto.Fault{Error: "outage"})
			return
		}
		result, err := serve(r)
		if write && s.gate.loseAnswer() {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			answer(w, statusOf(err), kvproto.Fault{Error: err.Error()})
			return
		}
		if entry, ok := result.(edge.Entry); ok {
			w.Header().Set("ETag", kvproto.FormatETag(entry.Version))
		}
		answer(w, http.StatusOK, result)
	})
}

func buffer(w http.ResponseWriter, r *http.Request) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, kvproto.MaxBody))
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

func statusOf(err error) int {
	var oversized *http.MaxBytesError
	switch {
	case errors.Is(err, edge.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, edge.ErrConflict):
		return http.StatusPreconditionFailed
	case errors.Is(err, edge.ErrLeaseExpired):
		return http.StatusGone
	case errors.Is(err, edge.ErrTooLarge), errors.As(err, &oversized):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, edge.ErrUnavailable):
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that went away needs no answer.
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
		return nil, Error.New("%w: key of %d bytes; allowed: 1 to %d", errBadCall, len(key), maxKeyLength)
	}
	expect, err := expected(r.Header)
	if err != nil {
		return nil, err
	}
	var write kvproto.Write
	if err := decode(r, &write); err != nil {
		return nil, err
	}
	version, err := s.store.put(edge.Write{Key: key, Value: write.Value, Expect: expect, Lease: write.Lease})
	return kvproto.Written{Version: version}, err
}

func (s *Service) remove(r *http.Request) (any, error) {
	expect, err := expected(r.Header)
	if err != nil {
		return nil, err
	}
	return struct{}{}, s.store.remove(r.URL.Query().Get(kvproto.QueryKey), expect)
}

func (s *Service) watch(r *http.Request) (any, error) {
	after, err := number(r, kvproto.QueryAfter)
	if err != nil {
		return nil, err
	}
	wait, err := number(r, kvproto.QueryWait)
	if err != nil {
		return nil, err
	}
	limit := min(time.Duration(wait)*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	return s.waitForChange(ctx, r.URL.Query().Get(kvproto.QueryPrefix), edge.Version(after))
}

// waitForChange ends early when faults are injected, as waiting watches break
// off in an outage.
func (s *Service) waitForChange(ctx context.Context, prefix string, after edge.Version) (any, error) {
	_, injected := s.gate.present()
	for {
		change, changed := s.store.changeSince(prefix, after)
		if change.Changed {
			return change, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return change, nil
		case <-injected:
			return nil, edge.ErrUnavailable
		}
	}
}

func (s *Service) grant(r *http.Request) (any, error) {
	var grant kvproto.Grant
	if err := decode(r, &grant); err != nil {
		return nil, err
	}
	ttl := time.Duration(grant.TTLMillis) * time.Millisecond
	if grant.TTLMillis > maxTTL.Milliseconds() || ttl < minTTL {
		return nil, Error.New("%w: ttl_ms %d; allowed: %d to %d", errBadCall, grant.TTLMillis,
			minTTL.Milliseconds(), maxTTL.Milliseconds())
	}
	lease, err := s.store.grant(ttl)
	return kvproto.Granted{Lease: lease}, err
}

func (s *Service) keepAlive(r *http.Request) (any, error) {
	lease, err := number(r, kvproto.QueryLease)
	if err != nil {
		return nil, err
	}
	return struct{}{}, s.store.keepAlive(edge.LeaseID(lease))
}

func (s *Service) revoke(r *http.Request) (any, error) {
	lease, err := number(r, kvproto.QueryLease)
	if err != nil {
		return nil, err
	}
	s.store.endLease(edge.LeaseID(lease))
	return struct{}{}, nil
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, kvproto.MaxBody))
	if err != nil {
		answer(w, http.StatusBadRequest, kvproto.Fault{Error: err.Error()})
		return
	}
	faults, err := strictjson.Decode[Faults](text)
	if err != nil {
		answer(w, http.StatusBadRequest, kvproto.Fault{Error: err.Error()})
		return
	}
	s.Inject(faults)
	answer(w, http.StatusOK, faults)
}

func expected(header http.Header) (edge.Version, error) {
	if header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	version, err := kvproto.ParseETag(header.Get("If-Match"))
	if err != nil {
		return 0, Error.New("%w: If-Match or If-None-Match: *: %v", errBadCall, err)
	}
	return version, nil
}

func decode(r *http.Request, body any) error {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		return Error.New("%w: body: %w", errBadCall, err)
	}
	return nil
}

func number(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	value, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, Error.New("%w: %s %q; allowed: a whole number", errBadCall, name, text)
	}
	return value, nil
}
