package cluster

import (
	"github.com/cespare/xxhash/v2"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

// DocumentReply is the reply of rpc.MethodFetchDocument: a complete document, or
// a delta against an earlier revision of it.
type DocumentReply struct {
	Kind     model.DocumentKind
	Revision model.Revision
	// Base is the revision that the delta applies to; 0 for a complete
	// document.
	Base model.Revision
	// Prefix and Suffix are the numbers of bytes that the body shares with the
	// base at its start and end; Middle is the part between them.
	Prefix, Suffix int
	Middle         []byte
	// Checksum is the xxHash of the complete body.
	Checksum uint64
}

// newReply returns a reply for a node that holds base, which may be empty.
func newReply(document, base Document) DocumentReply {
	reply := DocumentReply{
		Kind: document.Kind, Revision: document.Revision, Base: base.Revision,
		Checksum: xxhash.Sum64(document.Body),
	}
	shorter := min(len(document.Body), len(base.Body))
	for reply.Prefix < shorter && document.Body[reply.Prefix] == base.Body[reply.Prefix] {
		reply.Prefix++
	}
	shorter -= reply.Prefix
	for reply.Suffix < shorter && fromEnd(document.Body, reply.Suffix) == fromEnd(base.Body, reply.Suffix) {
		reply.Suffix++
	}
	reply.Middle = document.Body[reply.Prefix : len(document.Body)-reply.Suffix]
	return reply
}

func fromEnd(body []byte, i int) byte { return body[len(body)-1-i] }

// document applies the reply to the base, which is not modified. It returns an
// error if the reply does not match the base.
func (r DocumentReply) document(base Document) (Document, error) {
	if r.Base != base.Revision {
		return Document{}, Error.New("base: got revision %d of document %s, want %d", r.Base, r.Kind, base.Revision)
	}
	if r.Prefix < 0 || r.Suffix < 0 || r.Prefix > len(base.Body) || r.Suffix > len(base.Body)-r.Prefix {
		return Document{}, Error.New("prefix: %d and suffix %d exceed the base of document %s", r.Prefix, r.Suffix, r.Kind)
	}
	size := r.Prefix + len(r.Middle) + r.Suffix
	if size > platform.MaxValueSize {
		return Document{}, Error.New("body: %d bytes of document %s exceed %d", size, r.Kind, platform.MaxValueSize)
	}
	body := make([]byte, 0, size)
	body = append(body, base.Body[:r.Prefix]...)
	body = append(body, r.Middle...)
	body = append(body, base.Body[len(base.Body)-r.Suffix:]...)
	if xxhash.Sum64(body) != r.Checksum {
		return Document{}, Error.New("checksum: document %s does not match its base", r.Kind)
	}
	return Document{Kind: r.Kind, Revision: r.Revision, Body: body}, nil
}
