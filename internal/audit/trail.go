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
	// keyNewest holds a hint at the newest segment, which may be old or absent.
	keyNewest = keyPrefix + "newest"
	// maxAppendAttempts bounds the writes of one append.
	maxAppendAttempts = 32
)

// Trail keeps the chain in the platform. It is safe for use by several
// processes at once.
type Trail struct {
	store platform.Store
	// segmentSize is the size from which a segment is sealed, in bytes.
	segmentSize int

	mu sync.Mutex
	// seen is the newest segment as it was last read or written. A write that
	// expects its version fails when the segment has changed or was sealed.
	seen *stored
}

// NewTrail returns the trail of a deployment.
func NewTrail(store platform.Store) *Trail {
	return &Trail{store: store, segmentSize: MaxSegmentSize}
}

// stored is a segment with the version of its key; 0 when it is not stored yet.
type stored struct {
	segment Segment
	version platform.Version
	size    int
	// damaged is set when the segment cannot be read and stands empty here.
	damaged error
}

type hint struct {
	Segment uint64 `json:"segment"`
}

func segmentKey(number uint64) string { return fmt.Sprintf("%ssegments/%08d", keyPrefix, number) }

// End reads the state at the end of the trail.
func (t *Trail) End(ctx context.Context) (Base, error) {
	newest, err := t.newest(ctx)
	return newest.segment.End(), err
}

// Append writes a record at the end of the trail and returns the end's new
// state. A record that is in the trail already is not written again: an
// accepted one goes by its revision, a refused one by its change id while the
// same call runs. An error tells that the record may or may not be written.
// Floor is the newest entry that a document names.
func (t *Trail) Append(ctx context.Context, record Record, floor plan.AuditHead) (Base, error) {
	record = record.Bounded()
	var first uint64
	var last error
	for range maxAppendAttempts {
		newest, err := t.lastSeen(ctx)
		if err != nil {
			return Base{}, err
		}
		if first == 0 {
			first = newest.segment.Number
		}
		written, err := t.written(ctx, record, first, newest.segment)
		if err != nil || written {
			return newest.segment.End(), err
		}
		end, done, err := t.advance(ctx, newest, record, floor)
		if done {
			return end, nil
		}
		t.remember(nil)
		if err != nil && !repeatable(err) {
			return Base{}, Error.Wrap(err)
		}
		last = err
	}
	return Base{}, Error.New("append gave up after %d attempts: %w", maxAppendAttempts, last)
}

// repeatable tells that the next attempt begins by reading what was written.
// Every write of an attempt expects the version that it has read, so at most
// one of two attempts takes effect.
func repeatable(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknownOutcome)
}

// written looks for the record from the first segment that was tried on.
func (t *Trail) written(ctx context.Context, record Record, first uint64, newest Segment) (bool, error) {
	if record.Outcome == Accepted {
		kind, known := plan.KindByName(record.Document)
		return known && newest.End().Accepted[kind] >= record.To, nil
	}
	for number := first; number < newest.Number; number++ {
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

// advance makes one write: the record, or the seal of a full segment.
func (t *Trail) advance(
	ctx context.Context, newest stored, record Record, floor plan.AuditHead,
) (end Base, done bool, err error) {
	if newest.size >= t.segmentSize {
		sealed := newest.segment
		sealed.Sealed = true
		return Base{}, false, t.put(ctx, sealed, newest.version)
	}
	longer, err := newest.segment.Appended(record, floor)
	if err != nil {
		return Base{}, false, err
	}
	if err := t.put(ctx, longer, newest.version); err != nil {
		return Base{}, false, err
	}
	return longer.End(), true, nil
}

func (t *Trail) put(ctx context.Context, segment Segment, expect platform.Version) error {
	body, err := json.Marshal(segment)
	if err != nil {
		return Error.Wrap(err)
	}
	version, err := t.store.Put(ctx, platform.Write{Key: segmentKey(segment.Number), Value: body, Expect: expect})
	if err == nil {
		t.remember(&stored{segment: segment, version: version, size: len(body)})
	}
	return err
}

// lastSeen returns the newest segment without reading it where it can.
func (t *Trail) lastSeen(ctx context.Context) (stored, error) {
	t.mu.Lock()
	seen := t.seen
	t.mu.Unlock()
	if seen != nil {
		return *seen, nil
	}
	return t.newest(ctx)
}

func (t *Trail) remember(newest *stored) {
	t.mu.Lock()
	t.seen = newest
	t.mu.Unlock()
}

// newest reads the segment that takes the next entry, and remembers it.
func (t *Trail) newest(ctx context.Context) (stored, error) {
	newest, err := t.findNewest(ctx)
	if err != nil {
		t.remember(nil)
		return stored{}, err
	}
	t.remember(&newest)
	return newest, nil
}

// findNewest follows the segments to the one that takes the next entry. A sealed
// or damaged segment without a successor has an empty one, which is not stored
// yet.
func (t *Trail) findNewest(ctx context.Context) (stored, error) {
	hinted := t.hinted(ctx)
	current, err := t.read(ctx, hinted)
	if errors.Is(err, platform.ErrNotFound) && hinted > 1 {
		hinted = 1
		current, err = t.read(ctx, hinted)
	}
	if errors.Is(err, platform.ErrNotFound) {
		return stored{segment: First()}, nil
	}
	for err == nil && current.segment.Sealed {
		next := current.segment.Next()
		current, err = t.read(ctx, next.Number)
		if errors.Is(err, platform.ErrNotFound) {
			current, err = stored{segment: next}, nil
		}
	}
	if err == nil && current.segment.Number != hinted {
		t.writeHint(ctx, current.segment.Number)
	}
	return current, err
}

func (t *Trail) read(ctx context.Context, number uint64) (stored, error) {
	entry, err := t.store.Get(ctx, segmentKey(number))
	if err != nil {
		return stored{}, Error.Wrap(err)
	}
	segment, err := decodeSegment(number, entry.Value)
	if errors.Is(err, errDamaged) {
		segment = Segment{Number: number, Sealed: true}
	}
	return stored{segment: segment, version: entry.Version, size: len(entry.Value), damaged: err}, nil
}

// hinted returns the segment to begin the search with. A lost hint costs reads
// and nothing else.
func (t *Trail) hinted(ctx context.Context) uint64 {
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

// Walk calls visit with each segment, oldest first, and leaves out those that
// are missing or damaged. It makes one call for each segment.
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

// AcceptedAt returns the accepted entry that made a revision of a document.
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
