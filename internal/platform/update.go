package platform

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
)

// maxRecent is how many change IDs a value remembers.
const maxRecent = 32

// maxRaces bounds the rounds of one Update.
const maxRaces = 16

// ChangeID identifies one change. It is unique, also across processes and
// restarts.
type ChangeID string

// Tagged is the stored form of a value that Update changes. It remembers the
// newest changes, oldest first, so that a writer whose answer was lost can read
// whether its change took effect.
type Tagged struct {
	Recent []ChangeID `json:"recent"`
	Body   []byte     `json:"body"`
}

// ParseTagged decodes the stored form.
func ParseTagged(value []byte) (Tagged, error) {
	var tagged Tagged
	if err := json.Unmarshal(value, &tagged); err != nil {
		return Tagged{}, Error.New("malformed tagged value: %v", err)
	}
	return tagged, nil
}

// Modify computes the new body from the present one, which is nil when the key
// has no value. It may be called several times, and has no effects of its own.
type Modify func(body []byte) ([]byte, error)

// Update changes the value of a key by compare-and-swap. The change takes
// effect at most once, however many answers are lost and whoever else writes:
//
//   - nil: the change took effect exactly once;
//   - ErrUnknownOutcome: it took effect once or not at all, and the service could
//     not be read to tell, or too many others wrote since;
//   - any other error: it did not take effect.
//
// Calling Update again with the same change ID settles an unknown outcome, as
// long as the value still remembers it. The key must never be deleted.
func Update(ctx context.Context, store Store, key string, id ChangeID, modify Modify) error {
	u := &update{store: store, key: key, id: id, modify: modify}
	for range maxRaces {
		done, err := u.round(ctx)
		if done || err != nil {
			return u.outcome(err)
		}
	}
	return u.outcome(Error.New("%w: %d other writers won", ErrConflict, maxRaces))
}

// update is the state of one Update.
type update struct {
	store  Store
	key    string
	id     ChangeID
	modify Modify
	// doubtful tells that a write of this change is of unknown outcome; base is
	// what that write would have replaced.
	doubtful bool
	base     Tagged
}

// round reads, and writes unless the change is there already.
func (u *update) round(ctx context.Context) (done bool, err error) {
	entry, present, err := u.read(ctx)
	if err != nil {
		return false, err
	}
	if slices.Contains(present.Recent, u.id) {
		return true, nil
	}
	if u.doubtful && !present.reachesBack(u.base) {
		return false, Error.New("%w: the value no longer remembers", ErrUnknownOutcome)
	}
	value, err := u.apply(present)
	if err != nil {
		return false, err
	}
	// The write that was in doubt can't take effect any more once this one has,
	// and the other way round: both expect versions that only one can follow.
	_, err = u.store.Put(ctx, Write{Key: u.key, Value: value, Expect: entry.Version, Lease: entry.Lease})
	return u.written(present, err)
}

func (u *update) written(base Tagged, err error) (done bool, _ error) {
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, ErrConflict):
		return false, nil
	case errors.Is(err, ErrUnknownOutcome):
		if !u.doubtful {
			u.doubtful, u.base = true, base
		}
		return false, nil
	default:
		return false, err
	}
}

func (u *update) read(ctx context.Context) (Entry, Tagged, error) {
	entry, err := u.store.Get(ctx, u.key)
	if errors.Is(err, ErrNotFound) {
		return Entry{}, Tagged{}, nil
	}
	if err != nil {
		return Entry{}, Tagged{}, err
	}
	tagged, err := ParseTagged(entry.Value)
	return entry, tagged, err
}

func (u *update) apply(present Tagged) ([]byte, error) {
	body, err := u.modify(present.Body)
	if err != nil {
		return nil, err
	}
	recent := append(slices.Clone(present.Recent), u.id)
	recent = recent[max(0, len(recent)-maxRecent):]
	value, err := json.Marshal(Tagged{Recent: recent, Body: body})
	return value, Error.Wrap(err)
}

// outcome makes every failure after a doubtful write one of unknown outcome.
func (u *update) outcome(err error) error {
	if err == nil || !u.doubtful || errors.Is(err, ErrUnknownOutcome) {
		return err
	}
	return Error.New("%w: %v", ErrUnknownOutcome, err)
}

// reachesBack reports whether all changes since an earlier value are still
// remembered.
func (t Tagged) reachesBack(earlier Tagged) bool {
	if len(t.Recent) < maxRecent {
		return true
	}
	if len(earlier.Recent) == 0 {
		return false
	}
	return slices.Contains(t.Recent, earlier.Recent[len(earlier.Recent)-1])
}
