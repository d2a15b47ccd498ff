package cluster

import (
	"context"
	"net/netip"
	"sync/atomic"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

// documents holds the newest accepted revision of each of the operators'
// documents.
type documents struct {
	current [model.DocumentCount]atomic.Pointer[Document]
	// previous holds the revisions that current replaced, as bases for deltas.
	previous [model.DocumentCount]atomic.Pointer[Document]
}

// Document returns the newest accepted revision of a document, and false if
// there is none. It is safe for concurrent use.
func (n *Node) Document(kind model.DocumentKind) (Document, bool) {
	if kind >= model.DocumentCount {
		return Document{}, false
	}
	held := n.documents.current[kind].Load()
	if held == nil {
		return Document{}, false
	}
	return *held, true
}

// Revisions returns the revision of each document that this node holds. It is
// safe for concurrent use.
func (n *Node) Revisions() model.Revisions {
	var revisions model.Revisions
	for kind := range revisions {
		if held := n.documents.current[kind].Load(); held != nil {
			revisions[kind] = held.Revision
		}
	}
	return revisions
}

// SubmitDocument accepts a document if it is newer than the one held. It
// returns nil if it is not newer, and an error if it is invalid, the context
// ends, or the node has stopped. It is safe for concurrent use.
func (n *Node) SubmitDocument(ctx context.Context, document Document) error {
	if document.Kind >= model.DocumentCount {
		return Error.New("kind: %d is unknown", document.Kind)
	}
	if n.Revisions()[document.Kind] >= document.Revision {
		return nil
	}
	refused := n.checkDocument(document)
	err := n.postAndWait(ctx, func() { n.storeDocument(document, refused) })
	if refused != nil {
		return refused
	}
	return err
}

func (n *Node) checkDocument(document Document) error {
	if document.Revision == 0 {
		return Error.New("revision: missing in document %s", document.Kind)
	}
	if len(document.Body) > platform.MaxValueSize {
		return Error.New("body: %d bytes of document %s exceed %d", len(document.Body), document.Kind, platform.MaxValueSize)
	}
	if n.config.Check == nil {
		return nil
	}
	return Error.Wrap(n.config.Check(document))
}

// storeDocument accepts a newer document and passes it to the functions
// registered with OnDocument. If the document was refused, it only records its
// revision as rejected.
func (n *Node) storeDocument(document Document, refused error) {
	log := n.log.WithFields(map[string]any{"document": document.Kind, "revision": document.Revision})
	if held, found := n.Document(document.Kind); found && held.Revision >= document.Revision {
		return
	}
	if refused != nil {
		log.WithError(refused).Error("event=document_refused")
		n.freshness.RejectDocument(document.Kind, document.Revision)
		n.publishFreshness()
		return
	}
	replaced := n.documents.current[document.Kind].Swap(&document)
	n.documents.previous[document.Kind].Store(replaced)
	log.Info("event=document_taken")
	for _, f := range n.onDocument {
		f(document)
	}
	n.freshness.AcceptDocument(document.Kind, document.Revision)
	n.publishFreshness()
	n.advertiseDocument()
}

// advertiseDocument makes all heartbeats due now, since they carry the new
// revision number.
func (n *Node) advertiseDocument() {
	now := model.Now()
	n.lastDocumentAt = now
	for _, state := range n.heartbeats {
		state.due = min(state.due, now)
	}
	n.sendHeartbeats(now)
}

// pullNewer fetches the documents of which a peer holds a newer revision.
func (n *Node) pullNewer(addr netip.AddrPort, revisions model.Revisions) {
	for kind := range model.DocumentKind(model.DocumentCount) {
		if addr.IsValid() && n.freshness.Missing(kind) && revisions[kind] > n.Revisions()[kind] {
			n.pull(addr, kind)
		}
	}
}

func (n *Node) pull(addr netip.AddrPort, kind model.DocumentKind) {
	if n.active.pull[kind] {
		return
	}
	n.active.pull[kind] = true
	n.launch(syncTimeout, func(ctx context.Context) {
		err := n.fetch(ctx, addr, kind)
		if err != nil {
			n.log.WithError(err).WithField("peer", addr).Warn("event=document_not_fetched")
		}
		n.post(func() { n.active.pull[kind] = false })
	})
}

// fetch requests a delta against the revision held, and the complete document
// if the delta cannot be applied.
func (n *Node) fetch(ctx context.Context, addr netip.AddrPort, kind model.DocumentKind) error {
	held, _ := n.Document(kind)
	document, err := n.fetchDelta(ctx, addr, kind, held)
	if err != nil && held.Revision > 0 {
		document, err = n.fetchDelta(ctx, addr, kind, Document{})
	}
	if err != nil {
		return err
	}
	return n.SubmitDocument(ctx, document)
}

func (n *Node) fetchDelta(ctx context.Context, addr netip.AddrPort, kind model.DocumentKind, held Document) (Document, error) {
	request := DocumentRequest{Kind: kind, Have: held.Revision}
	reply, err := rpc.Call[DocumentRequest, DocumentReply](ctx, n.config.Client, addr, rpc.MethodFetchDocument, request)
	if err != nil {
		return Document{}, Error.Wrap(err)
	}
	if reply.Kind != kind {
		return Document{}, Error.New("kind: got %s, want %s", reply.Kind, kind)
	}
	if reply.Base == 0 {
		held = Document{}
	}
	return reply.document(held)
}

// pullMissing pings a random balancer if a newer revision is known to exist; if
// the balancer holds the revision, its reply starts a fetch. This covers the case
// that the node from which this one learned the revision has failed.
func (n *Node) pullMissing() {
	for kind := range model.DocumentKind(model.DocumentCount) {
		if !n.freshness.Missing(kind) {
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
		return DocumentReply{}, Error.New("document %s is not held by this node", request.Kind)
	}
	previous := n.documents.previous[request.Kind].Load()
	if previous == nil || previous.Revision != request.Have {
		return newReply(document, Document{}), nil
	}
	return newReply(document, *previous), nil
}

func (n *Node) servePushDocument(ctx context.Context, _ rpc.Peer, document Document) (PushDocumentReply, error) {
	if err := n.SubmitDocument(ctx, document); err != nil {
		return PushDocumentReply{}, err
	}
	return PushDocumentReply{Revisions: n.Revisions()}, nil
}

func (n *Node) register(server *rpc.Server) {
	server.Handle(rpc.MethodPing, rpc.TypedHandler(n.servePing))
	server.Handle(rpc.MethodHeartbeat, rpc.TypedHandler(n.serveHeartbeat))
	server.Handle(rpc.MethodSync, rpc.TypedHandler(n.serveSync))
	server.Handle(rpc.MethodFetchDocument, rpc.TypedHandler(n.serveDocument))
	server.Handle(rpc.MethodPushDocument, rpc.TypedHandler(n.servePushDocument))
}
