package cluster

import (
	"context"
	"net/netip"
	"sync/atomic"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

// documents holds the newest good revision of each of the operators' documents.
type documents struct {
	held [model.DocumentCount]atomic.Pointer[Document]
	// previous are the revisions held before those.
	previous [model.DocumentCount]atomic.Pointer[Document]
}

// Document returns the newest good revision of a document, and false when there
// is none. It is safe for concurrent use.
func (n *Node) Document(kind model.DocumentKind) (Document, bool) {
	if kind >= model.DocumentCount {
		return Document{}, false
	}
	held := n.documents.held[kind].Load()
	if held == nil {
		return Document{}, false
	}
	return *held, true
}

// Revisions returns the revision of each document that this node holds.
func (n *Node) Revisions() model.Revisions {
	var revisions model.Revisions
	for kind := range revisions {
		if held := n.documents.held[kind].Load(); held != nil {
			revisions[kind] = held.Revision
		}
	}
	return revisions
}

// SubmitDocument brings a document to this node, as a peer's offer does.
func (n *Node) SubmitDocument(ctx context.Context, document Document) error {
	if document.Kind >= model.DocumentCount {
		return Error.New("kind: %d is not known", document.Kind)
	}
	if n.Revisions()[document.Kind] >= document.Revision {
		return nil
	}
	refused := n.judgeDocument(document)
	err := n.ask(ctx, func() { n.takeDocument(document, refused) })
	if refused != nil {
		return refused
	}
	return err
}

func (n *Node) judgeDocument(document Document) error {
	if document.Revision == 0 {
		return Error.New("revision: missing in document %s", document.Kind)
	}
	if len(document.Body) > platform.MaxValueSize {
		return Error.New("body: %d bytes of document %s are above %d", len(document.Body), document.Kind, platform.MaxValueSize)
	}
	if n.config.Check == nil {
		return nil
	}
	return Error.Wrap(n.config.Check(document))
}

// takeDocument takes over a newer good document; a bad one is only noted.
func (n *Node) takeDocument(document Document, refused error) {
	log := n.log.WithFields(map[string]any{"document": document.Kind, "revision": document.Revision})
	if held, found := n.Document(document.Kind); found && held.Revision >= document.Revision {
		return
	}
	if refused != nil {
		log.WithError(refused).Error("event=document_refused")
		n.proof.RejectDocument(document.Kind, document.Revision)
		n.publishFresh()
		return
	}
	replaced := n.documents.held[document.Kind].Swap(&document)
	n.documents.previous[document.Kind].Store(replaced)
	log.Info("event=document_taken")
	for _, f := range n.onDocument {
		f(document)
	}
	n.proof.AcceptDocument(document.Kind, document.Revision)
	n.publishFresh()
	n.tellDocument()
}

// tellDocument brings the new revision number to the neighbours at once.
func (n *Node) tellDocument() {
	now := model.Now()
	n.documentAt = now
	for _, beat := range n.beats {
		beat.due = min(beat.due, now)
	}
	n.sendBeats(now)
}

// pullNewer fetches the documents of which a peer holds a newer revision.
func (n *Node) pullNewer(addr netip.AddrPort, revisions model.Revisions) {
	for kind := range model.DocumentKind(model.DocumentCount) {
		if addr.IsValid() && n.proof.Missing(kind) && revisions[kind] > n.Revisions()[kind] {
			n.pull(addr, kind)
		}
	}
}

func (n *Node) pull(addr netip.AddrPort, kind model.DocumentKind) {
	if n.busy.pull[kind] {
		return
	}
	n.busy.pull[kind] = true
	n.launch(syncTimeout, func(ctx context.Context) {
		err := n.fetch(ctx, addr, kind)
		if err != nil {
			n.log.WithError(err).WithField("peer", addr).Warn("event=document_not_fetched")
		}
		n.post(func() { n.busy.pull[kind] = false })
	})
}

// fetch asks a peer for what differs from the own revision, and for the whole
// document when that does not fit.
func (n *Node) fetch(ctx context.Context, addr netip.AddrPort, kind model.DocumentKind) error {
	held, _ := n.Document(kind)
	document, err := n.fetchOn(ctx, addr, kind, held)
	if err != nil && held.Revision > 0 {
		document, err = n.fetchOn(ctx, addr, kind, Document{})
	}
	if err != nil {
		return err
	}
	return n.SubmitDocument(ctx, document)
}

func (n *Node) fetchOn(ctx context.Context, addr netip.AddrPort, kind model.DocumentKind, held Document) (Document, error) {
	request := DocumentRequest{Kind: kind, Have: held.Revision}
	reply, err := rpc.Call[DocumentRequest, DocumentReply](ctx, n.config.Client, addr, rpc.MethodDocument, request)
	if err != nil {
		return Document{}, Error.Wrap(err)
	}
	if reply.Kind != kind {
		return Document{}, Error.New("kind: %s came in place of %s", reply.Kind, kind)
	}
	if reply.Base == 0 {
		held = Document{}
	}
	return reply.document(held)
}

// pullMissing asks a random balancer when a revision is known of and its holder
// was lost.
func (n *Node) pullMissing() {
	for kind := range model.DocumentKind(model.DocumentCount) {
		if !n.proof.Missing(kind) {
			continue
		}
		for _, peer := range n.randomBalancers(1) {
			n.ping(peer.Control)
		}
		return
	}
}

func (n *Node) serveDocument(_ context.Context, _ rpc.Peer, request DocumentRequest) (DocumentReply, error) {
	document, found := n.Document(request.Kind)
	if !found {
		return DocumentReply{}, Error.New("document %s is not held here", request.Kind)
	}
	previous := n.documents.previous[request.Kind].Load()
	if previous == nil || previous.Revision != request.Have {
		return newReply(document, Document{}), nil
	}
	return newReply(document, *previous), nil
}

func (n *Node) serveOffer(ctx context.Context, _ rpc.Peer, document Document) (SubmitReply, error) {
	if err := n.SubmitDocument(ctx, document); err != nil {
		return SubmitReply{}, err
	}
	return SubmitReply{Revisions: n.Revisions()}, nil
}

func (n *Node) register(server *rpc.Server) {
	server.Handle(rpc.MethodPing, rpc.Typed(n.servePing))
	server.Handle(rpc.MethodAnnounce, rpc.Typed(n.serveBeat))
	server.Handle(rpc.MethodSync, rpc.Typed(n.serveSync))
	server.Handle(rpc.MethodDocument, rpc.Typed(n.serveDocument))
	server.Handle(rpc.MethodOffer, rpc.Typed(n.serveOffer))
}
