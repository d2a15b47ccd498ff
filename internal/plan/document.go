package plan

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/strictjson"
)

// Document is one accepted version of one of the operators' documents.
type Document struct {
	Header  Header
	Content Content
}

// Header describes a version of a document: who made it, when, and from which
// change.
type Header struct {
	Revision model.Revision `json:"revision"`
	// Base is the revision that this version replaces, 0 if there was none.
	Base model.Revision `json:"base"`
	// ChangeID uniquely identifies the change that produced this version.
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	// Changes describes the differences from the preceding version in lines for
	// operators.
	Changes []string `json:"changes"`
	// AuditHead is the newest entry of the audit trail before the change.
	AuditHead AuditHead `json:"audit_head"`
}

// AuditHead identifies an entry of the audit trail by its sequence number and
// hash.
type AuditHead struct {
	Sequence uint64 `json:"sequence"`
	Hash     string `json:"hash"`
}

// envelope is the stored form of a Document.
type envelope struct {
	Header
	Content json.RawMessage `json:"content"`
}

// DecodeDocument decodes and checks the stored form of a document. Unknown
// fields of the header are ignored, so that a newer balsamctl may add some;
// unknown fields of the content are rejected.
func DecodeDocument(kind model.DocumentKind, body []byte) (Document, error) {
	if len(body) > MaxDocumentSize {
		return Document{}, Error.New("%s: document of %d bytes is larger than %d", kind, len(body), MaxDocumentSize)
	}
	var stored envelope
	if err := json.Unmarshal(body, &stored); err != nil {
		return Document{}, Error.New("%s: %v", kind, err)
	}
	if stored.Revision == 0 {
		return Document{}, Error.New("%s: revision: is missing or 0", kind)
	}
	if stored.ChangeID == "" {
		return Document{}, Error.New("%s: change_id: is missing", kind)
	}
	content, err := DecodeContent(kind, stored.Content)
	if err != nil {
		return Document{}, err
	}
	return Document{Header: stored.Header, Content: content}, nil
}

// Encode returns the stored form of the document, with its content normalized.
// It fails if the result exceeds MaxDocumentSize.
func (d Document) Encode() ([]byte, error) {
	content, err := EncodeContent(d.Content)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(envelope{Header: d.Header, Content: content})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(body) > MaxDocumentSize {
		kind := d.Content.Kind()
		return nil, Error.New("%s: document of %d bytes is larger than %d", kind, len(body), MaxDocumentSize)
	}
	return body, nil
}

// DecodeContent decodes and checks the content of a document, which has the
// same format as the operators' files. Errors about fields wrap
// *strictjson.Problems.
func DecodeContent(kind model.DocumentKind, body []byte) (Content, error) {
	switch kind {
	case model.DocumentCustomers:
		return decodeContent[Customers](body)
	case model.DocumentPlans:
		return decodeContent[Plans](body)
	case model.DocumentOutOfService:
		return decodeContent[OutOfService](body)
	default:
		return nil, Error.New("%s is not a known document", kind)
	}
}

// EncodeContent checks a Content and returns its normalized JSON form. It fails
// if that exceeds MaxContentSize. Equal contents have equal encodings.
func EncodeContent(content Content) ([]byte, error) {
	if err := content.Check(); err != nil {
		return nil, err
	}
	body, err := json.Marshal(content.Normalized())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return body, checkSize(content.Kind(), body)
}

func checkSize(kind model.DocumentKind, body []byte) error {
	if len(body) <= MaxContentSize {
		return nil
	}
	return Error.New("%s: list of %d bytes is larger than %d", kind, len(body), MaxContentSize)
}

// ContentSHA256 returns the hex SHA-256 hash of the encoding that EncodeContent
// returns.
func ContentSHA256(content Content) (string, error) {
	body, err := EncodeContent(content)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:]), nil
}

// KindByName returns the document kind with a name, such as "customers".
func KindByName(name string) (model.DocumentKind, bool) {
	for kind := range model.DocumentKind(model.DocumentCount) {
		if kind.String() == name {
			return kind, true
		}
	}
	return 0, false
}

// Equal reports whether two contents are the same apart from the order of lists
// and the spelling of values. It is false if either of them cannot be encoded.
func Equal(a, b Content) bool {
	first, err := EncodeContent(a)
	if err != nil {
		return false
	}
	second, err := EncodeContent(b)
	return err == nil && a.Kind() == b.Kind() && bytes.Equal(first, second)
}

func decodeContent[T Content](body []byte) (Content, error) {
	var content T
	if err := checkSize(content.Kind(), body); err != nil {
		return nil, err
	}
	content, err := strictjson.Decode[T](body)
	if err != nil {
		return nil, Error.New("%s: %w", content.Kind(), err)
	}
	if err := content.Check(); err != nil {
		return nil, err
	}
	return content, nil
}
