package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeDelay = 4 * time.Millisecond
	pageItems  = 500
)

type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Rev        uint64 `json:"rev"`
	CreatedRev uint64 `json:"created_rev"`
	Lease      uint64 `json:"lease"`
}

// store is the platform's metadata store: linearizable, in memory. Its leases do not end
// within a run unless they are ended by a call.
type store struct {
	mu    sync.Mutex
	rev   uint64
	items map[string]item
	lease uint64
	ttl   map[uint64]int64
}

func newStore() *store { return &store{rev: 1, items: map[string]item{}, ttl: map[uint64]int64{}} }

func (s *store) write(key string, value []byte, lease uint64) uint64 {
	s.rev++
	old, known := s.items[key]
	created := s.rev
	if known {
		created = old.CreatedRev
	}
	s.items[key] = item{key, value, s.rev, created, lease}
	return s.rev
}

// operator writes a key as the operator does; nil removes it.
func (s *store) operator(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if value == nil {
		delete(s.items, key)
		s.rev++
		return
	}
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.write(key, text, 0)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := func(status int, body any) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/api/kv-key":
		found, known := s.items[query.Get("key")]
		if !known {
			reply(404, map[string]any{"current_rev": s.rev})
			return
		}
		reply(200, found)
	case path == "/api/kv-range":
		var items []item
		for key, one := range s.items {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				items = append(items, one)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		more := len(items) > pageItems
		items = items[:min(len(items), pageItems)]
		reply(200, map[string]any{"items": items, "has_more": more, "current_rev": s.rev})
	case path == "/api/kv-txn":
		var body struct {
			Expected []struct {
				Key string
				Rev uint64
			}
			Puts []struct {
				Key   string
				Value []byte
				Lease uint64
			}
			Delete []string
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Expected)+len(body.Puts)+len(body.Delete) > 32 {
			reply(400, struct{}{})
			return
		}
		holds, now := true, []item{}
		for _, e := range body.Expected {
			found, known := s.items[e.Key]
			holds = holds && found.Rev == e.Rev
			if known {
				now = append(now, found)
			}
		}
		for _, p := range body.Puts {
			if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
				reply(403, struct{}{})
				return
			}
			if _, known := s.ttl[p.Lease]; p.Lease != 0 && !known {
				reply(404, struct{}{})
				return
			}
		}
		if !holds {
			reply(412, map[string]any{"items": now})
			return
		}
		for _, p := range body.Puts {
			s.write(p.Key, p.Value, p.Lease)
		}
		for _, key := range body.Delete {
			if _, known := s.items[key]; known {
				delete(s.items, key)
				s.rev++
			}
		}
		reply(200, map[string]any{"rev": s.rev})
	case path == "/api/kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		s.lease++
		s.ttl[s.lease] = max(1000, body.TTL)
		reply(200, map[string]any{"lease": s.lease, "ttl_ms": s.ttl[s.lease]})
	case strings.HasPrefix(path, "/api/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/api/kv-keep/"), 10, 64)
		ttl, known := s.ttl[id]
		if !known {
			reply(404, struct{}{})
			return
		}
		reply(200, map[string]any{"ttl_ms": ttl})
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/api/kv-lease-end/"), 10, 64)
		delete(s.ttl, id)
		for key, one := range s.items {
			if one.Lease == id && id != 0 {
				delete(s.items, key)
				s.rev++
			}
		}
		reply(200, struct{}{})
	default:
		reply(404, struct{}{})
	}
}
