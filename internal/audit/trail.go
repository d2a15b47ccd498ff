package audit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/platform"
)

const (
	keyPrefix = "audit/"
	// keyNewest holds the number of the newest segment as a hint, which may be
	// outdated or missing.
	keyNewest = keyPrefix + "newest"
	// maxAppendAttempts limits the writes of one append.
	maxAppendAttempts = 32
)

// Trail stores the chain in the platform. Several goroutines and several processes
// may use it at the same time.
type Trail struct {
	store platform.Store
	// segmentSize is the size from which a segment is sealed, in bytes.
	segmentSize int

	mu sync.Mutex
	// cached is the newest segment as it was last read or written. A write that
	// expects its version fails if the segment has changed or was sealed since.
	cached *storedSegment
}

// NewTrail returns the trail of a deployment.
func NewTrail(store platform.Store) *Trail {
	return &Trail{store: store, segmentSize: MaxSegmentSize}
}

// storedSegment is a segment with the version of its key; version 0 means that it
// is not stored yet.
type storedSegment struct {
	segment Segment
	version platform.Version
	size    int
	// damaged is set when the segment cannot be decoded; the segment is then empty
	// and counts as sealed.
	damaged error
}

// hint is the value of keyNewest.
type hint struct {
	Segment uint64 `json:"segment"`
}

func segmentKey(number uint64) string { return fmt.Sprintf("%ssegments/%08d", keyPrefix, number) }

// End reads the state at the end of the trail.
func (t *Trail) End(ctx context.Context) (ChainState, error) {
	newest, err := t.newest(ctx)
	return newest.segment.End(), err
}

// Append writes a record at the end of the trail and returns the state after it. A
// record that is already in the trail is not written again: an accepted one is
// identified by its revision, a refused one by its change id, which is searched for
// only in the segment that was the newest when the call began and in later ones.
// When an error is returned, the record may or may not have been written. floor is
// the newest entry that a document refers to.
func (t *Trail) Append(ctx context.Context, record Record, floor plan.AuditHead) (ChainState, error) {
	record = record.Truncated()
	var firstSegment uint64
	var lastErr error
	for range maxAppendAttempts {
		newest, err := t.cachedNewest(ctx)
		if err != nil {
			return ChainState{}, err
		}
		if firstSegment == 0 {
			firstSegment = newest.segment.Number
		}
		written, err := t.alreadyWritten(ctx, record, firstSegment, newest.segment)
		if err != nil || written {
			return newest.segment.End(), err
		}
		end, done, err := t.writeStep(ctx, newest, record, floor)
		if done {
			return end, nil
		}
		t.setCached(nil)
		if err != nil && !retryable(err) {
			return ChainState{}, Error.Wrap(err)
		}
		lastErr = err
	}
	return ChainState{}, Error.New("append gave up after %d attempts: %w", maxAppendAttempts, lastErr)
}

// retryable reports whether another attempt may follow an error. The attempt first
// reads what was written, and every write expects the version that was read, so at
// most one of two attempts takes effect.
func retryable(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknownOutcome)
}

// alreadyWritten reports whether the record is in the trail. An accepted one is
// identified by its revision. A refused one is searched for in all segments from
// firstSegment on, which was the newest segment at the first attempt.
func (t *Trail) alreadyWritten(ctx context.Context, record Record, firstSegment uint64, newest Segment) (bool, error) {
	if record.Outcome == Accepted {
		kind, known := plan.KindByName(record.Document)
		return known && newest.End().Accepted[kind] >= record.To, nil
	}
	for number := firstSegment; number < newest.Number; number++ {
		older, err := t.read(ctx, number)
		if err != nil {
			return false, err
		}
		if _, found := older.segment.Find(record.ChangeID, record.Outcome); found {
			return true, nil
		}
	}
	_, found := newest.Find(record.ChangeID, record.Outcome)
	return found, nil
}

// writeStep makes one write: the record, or the seal of a full segment. done
// reports whether it has written the record; end is then the state after it.
func (t *Trail) writeStep(
	ctx context.Context, newest storedSegment, record Record, floor plan.AuditHead,
) (end ChainState, done bool, err error) {
	if newest.size >= t.segmentSize {
		sealed := newest.segment
		sealed.Sealed = true
		return ChainState{}, false, t.put(ctx, sealed, newest.version)
	}
	appended, err := newest.segment.Appended(record, floor)
	if err != nil {
		return ChainState{}, false, err
	}
	if err := t.put(ctx, appended, newest.version); err != nil {
		return ChainState{}, false, err
	}
	return appended.End(), true, nil
}

func (t *Trail) put(ctx context.Context, segment Segment, expect platform.Version) error {
	body, err := json.Marshal(segment)
	if err != nil {
		return Error.Wrap(err)
	}
	version, err := t.store.Put(ctx, platform.Write{Key: segmentKey(segment.Number), Value: body, Expect: expect})
	if err == nil {
		t.setCached(&storedSegment{segment: segment, version: version, size: len(body)})
	}
	return err
}

// cachedNewest returns the newest segment, from the cache if possible.
func (t *Trail) cachedNewest(ctx context.Context) (storedSegment, error) {
	t.mu.Lock()
	cached := t.cached
	t.mu.Unlock()
	if cached != nil {
		return *cached, nil
	}
	return t.newest(ctx)
}

// setCached replaces the cached newest segment; nil clears the cache.
func (t *Trail) setCached(newest *storedSegment) {
	t.mu.Lock()
	t.cached = newest
	t.mu.Unlock()
}

// newest reads the segment that takes the next entry, and caches it.
func (t *Trail) newest(ctx context.Context) (storedSegment, error) {
	newest, err := t.findNewest(ctx)
	if err != nil {
		t.setCached(nil)
		return storedSegment{}, err
	}
	t.setCached(&newest)
	return newest, nil
}

// findNewest follows the segments, beginning with the hinted one, to the one that
// takes the next entry. If the last stored segment is sealed or damaged, it returns
// the empty segment that follows, which is not stored yet.
func (t *Trail) findNewest(ctx context.Context) (storedSegment, error) {
	hinted := t.readHint(ctx)
	current, err := t.read(ctx, hinted)
	if errors.Is(err, platform.ErrNotFound) && hinted > 1 {
		hinted = 1
		current, err = t.read(ctx, hinted)
	}
	if errors.Is(err, platform.ErrNotFound) {
		return storedSegment{segment: FirstSegment()}, nil
	}
	for err == nil && current.segment.Sealed {
		next := current.segment.Next()
		current, err = t.read(ctx, next.Number)
		if errors.Is(err, platform.ErrNotFound) {
			current, err = storedSegment{segment: next}, nil
		}
	}
	if err == nil && current.segment.Number != hinted {
		t.writeHint(ctx, current.segment.Number)
	}
	return current, err
}

func (t *Trail) read(ctx context.Context, number uint64) (storedSegment, error) {
	entry, err := t.store.Get(ctx, segmentKey(number))
	if err != nil {
		return storedSegment{}, Error.Wrap(err)
	}
	segment, err := decodeSegment(number, entry.Value)
	if errors.Is(err, errDamaged) {
		segment = Segment{Number: number, Sealed: true}
	}
	return storedSegment{segment: segment, version: entry.Version, size: len(entry.Value), damaged: err}, nil
}

// readHint returns the number of the segment to begin the search with. Without a
// hint it is 1: the search takes more reads but has the same result.
func (t *Trail) readHint(ctx context.Context) uint64 {
	entry, err := t.store.Get(ctx, keyNewest)
	if err != nil {
		return 1
	}
	var newest hint
	if err := json.Unmarshal(entry.Value, &newest); err != nil {
		return 1
	}
	return max(newest.Segment, 1)
}

// writeHint stores the number of the newest segment. Failures are ignored, since
// the hint only saves reads.
func (t *Trail) writeHint(ctx context.Context, number uint64) {
	var expect platform.Version
	if entry, err := t.store.Get(ctx, keyNewest); err == nil {
		expect = entry.Version
	}
	body, err := json.Marshal(hint{Segment: number})
	if err != nil {
		return
	}
	_, _ = t.store.Put(ctx, platform.Write{Key: keyNewest, Value: body, Expect: expect})
}

// Walk calls visit with each segment, oldest first, and skips missing and damaged
// ones. It reads each segment with one platform call.
func (t *Trail) Walk(ctx context.Context, visit func(Segment)) error {
	newest, err := t.newest(ctx)
	if err != nil {
		return err
	}
	for number := uint64(1); number < newest.segment.Number; number++ {
		older, err := t.read(ctx, number)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		if older.damaged == nil {
			visit(older.segment)
		}
	}
	visit(newest.segment)
	return nil
}

// AcceptedAt returns the accepted entry that created a revision of a document, and
// whether there is one.
func (t *Trail) AcceptedAt(ctx context.Context, kind model.DocumentKind, revision model.Revision) (Entry, bool, error) {
	current, err := t.newest(ctx)
	if err != nil {
		return Entry{}, false, err
	}
	for current.segment.Base.Accepted[kind] >= revision && current.segment.Number > 1 {
		current, err = t.read(ctx, current.segment.Number-1)
		if err != nil {
			return Entry{}, false, err
		}
	}
	for _, entry := range current.segment.Entries {
		if entry.Outcome == Accepted && entry.Document == kind.String() && entry.To == revision {
			return entry, true, nil
		}
	}
	return Entry{}, false, nil
}
