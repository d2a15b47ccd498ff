package cluster

import (
	"testing"

	"pgregory.net/rapid"
)

// TestDeltaIsAppliedExactlyOrRefused applies a delta to its base, to another body
// with the same revision, and with an arbitrary prefix length. Each time it must
// give the complete document or an error.
func TestDeltaIsAppliedExactlyOrRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 12)
		base := Document{Revision: 4, Body: body.Draw(t, "base")}
		document := Document{Revision: 5, Body: body.Draw(t, "body")}
		reply := newReply(document, base)
		got, err := reply.document(base)
		if err != nil || string(got.Body) != string(document.Body) || got.Revision != 5 {
			t.Fatalf("%q on %q gives %q: %v", document.Body, base.Body, got.Body, err)
		}
		other := Document{Revision: 4, Body: body.Draw(t, "other base")}
		got, err = reply.document(other)
		if err == nil && string(got.Body) != string(document.Body) {
			t.Fatalf("%q on the wrong base %q gives %q", document.Body, other.Body, got.Body)
		}
		reply.Prefix = rapid.Int().Draw(t, "prefix")
		got, err = reply.document(base)
		if err == nil && string(got.Body) != string(document.Body) {
			t.Fatalf("the wrong prefix %d gives %q", reply.Prefix, got.Body)
		}
	})
}
