package platform

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
)

// maxRecent is the maximum number of change IDs kept with a value.
const maxRecent = 32

// maxRounds limits the rounds of one Update. A round reads the value and writes
// it conditionally.
const maxRounds = 16

// ChangeID identifies one change. It is unique across processes and restarts.
type ChangeID string

// Tagged is the stored form of a value that Update changes. It includes the IDs
// of the most recent changes, oldest first, so that a writer whose response was
// lost can find out whether its change took effect.
type Tagged struct {
	Recent []ChangeID `json:"recent"`
	Body   []byte     `json:"body"`
}

// ParseTagged decodes the stored form of a value.
func ParseTagged(value []byte) (Tagged, error) {
	var tagged Tagged
	if err := json.Unmarshal(value, &tagged); err != nil {
		return Tagged{}, Error.New("malformed tagged value: %v", err)
	}
	return tagged, nil
}

// Modify computes the new body from the current one, which is nil when the key
// has no value. It may be called several times and must have no side effects.
type Modify func(body []byte) ([]byte, error)

// Update changes the value of a key by compare-and-swap. The change takes
// effect at most once, even if responses are lost and others write
// concurrently:
//
//   - nil: the change took effect exactly once;
//   - ErrUnknownOutcome: it took effect once or not at all; the service could
//     not be read to find out, or too many others have written since;
//   - any other error: it did not take effect.
//
// Calling Update again with the same change ID resolves an unknown outcome, as
// long as the value still includes that ID. The key must never be deleted.
func Update(ctx context.Context, store Store, key string, id ChangeID, modify Modify) error {
	u := &update{store: store, key: key, id: id, modify: modify}
	for range maxRounds {
		done, err := u.round(ctx)
		if done || err != nil {
			return u.outcome(err)
		}
	}
	return u.outcome(Error.New("%w: the change could not be written in %d rounds", ErrConflict, maxRounds))
}

// update is the state of one call of Update.
type update struct {
	store  Store
	key    string
	id     ChangeID
	modify Modify
	// uncertain is set when a write of this change had an unknown outcome; base
	// is the value that that write would have replaced.
	uncertain bool
	base      Tagged
}

// round reads the value, and writes it unless it already includes the change.
func (u *update) round(ctx context.Context) (done bool, err error) {
	entry, current, err := u.read(ctx)
	if err != nil {
		return false, err
	}
	if slices.Contains(current.Recent, u.id) {
		return true, nil
	}
	if u.uncertain && !current.coversSince(u.base) {
		return false, Error.New("%w: the value no longer includes the change IDs since that write", ErrUnknownOutcome)
	}
	value, err := u.apply(current)
	if err != nil {
		return false, err
	}
	// This write and an earlier one of unknown outcome can't both take effect:
	// both expect versions that only one of them can follow.
	_, err = u.store.Put(ctx, Write{Key: u.key, Value: value, Expect: entry.Version, Lease: entry.Lease})
	return u.written(current, err)
}

func (u *update) written(base Tagged, err error) (done bool, _ error) {
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, ErrConflict):
		return false, nil
	case errors.Is(err, ErrUnknownOutcome):
		if !u.uncertain {
			u.uncertain, u.base = true, base
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

func (u *update) apply(current Tagged) ([]byte, error) {
	body, err := u.modify(current.Body)
	if err != nil {
		return nil, err
	}
	recent := append(slices.Clone(current.Recent), u.id)
	recent = recent[max(0, len(recent)-maxRecent):]
	value, err := json.Marshal(Tagged{Recent: recent, Body: body})
	return value, Error.Wrap(err)
}

// outcome converts every failure after a write of unknown outcome to
// ErrUnknownOutcome.
func (u *update) outcome(err error) error {
	if err == nil || !u.uncertain || errors.Is(err, ErrUnknownOutcome) {
		return err
	}
	return Error.New("%w: %v", ErrUnknownOutcome, err)
}

// coversSince reports whether the value still includes the IDs of all changes
// since an earlier value.
func (t Tagged) coversSince(earlier Tagged) bool {
	if len(t.Recent) < maxRecent {
		return true
	}
	if len(earlier.Recent) == 0 {
		return false
	}
	return slices.Contains(t.Recent, earlier.Recent[len(earlier.Recent)-1])
}
