package packetnode

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/balsamlink/balsamlink/internal/codec"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

const (
	// maxPeersAsked is how many peers are asked for a document before the store is.
	maxPeersAsked = 2
	// maxDocument is the maximum size of an encoded document, in bytes.
	maxDocument = 16 << 20
)

// stateRequest requests the operators' state of another node.
type stateRequest struct {
	// Compressed is set if the reply may be compressed. Nodes that do not know the field
	// reply with a Document.
	Compressed bool
}

// stateReply is the reply to a stateRequest: a document, or its compressed encoding.
type stateReply struct {
	Document   routing.Document
	Compressed []byte
	// AgeMillis is the time since the document was last verified to be current, in
	// milliseconds.
	AgeMillis uint32
}

// servedDocument is the document that a node passes on. It is compressed when a node
// first requests it: a configuration of some hundred routes then takes a tenth of its
// size on the links of small VMs.
type servedDocument struct {
	document   routing.Document
	compress   sync.Once
	compressed []byte
	err        error
}

func (s *servedDocument) reply(request stateRequest) (stateReply, error) {
	if !request.Compressed {
		return stateReply{Document: s.document}, nil
	}
	s.compress.Do(func() { s.compressed, s.err = compressDocument(s.document) })
	return stateReply{Compressed: s.compressed}, s.err
}

func compressDocument(document routing.Document) ([]byte, error) {
	text, err := codec.Marshal(document)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := writer.Write(text); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return buffer.Bytes(), nil
}

// documentOf returns the document of a reply.
func documentOf(reply stateReply) (routing.Document, error) {
	if len(reply.Compressed) == 0 {
		return reply.Document, nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(reply.Compressed)), maxDocument+1))
	if err != nil {
		return routing.Document{}, Error.New("compressed document: %v", err)
	}
	if len(text) > maxDocument {
		return routing.Document{}, Error.New("document of more than %d bytes", maxDocument)
	}
	var document routing.Document
	if err := codec.Unmarshal(text, &document); err != nil {
		return routing.Document{}, Error.New("document: %v", err)
	}
	return document, nil
}

func (n *Node) serveState(_ context.Context, _ rpc.Peer, request stateRequest) (stateReply, error) {
	// The time is read before the document: if a newer one is adopted meanwhile, the age is
	// too large, never too small.
	age := model.Now().Sub(model.Instant(n.verifiedAt.Load()))
	served := n.served.Load()
	if served == nil {
		return stateReply{}, Error.New("no operators' state is known")
	}
	reply, err := served.reply(request)
	reply.AgeMillis = ageMillis(age)
	return reply, err
}

// newestPeers returns copies of live peers that have the newest state that this node has
// heard of, in random order, those of its own zone first. At most maxPeersAsked are
// returned, and none when this node's state is as new.
func (n *Node) newestPeers(now model.Instant) []*RemoteNode {
	newest := n.stateCache.document.AsOf + 1
	if seen := n.newestSeen.Load(); seen != nil {
		newest = max(newest, seen.AsOf)
	}
	var peers []*RemoteNode
	for _, node := range n.table.nodes {
		if node.Live(now) && node.Freshness.AsOf >= newest {
			copied := *node
			peers = append(peers, &copied)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b *RemoteNode) int {
		switch aNear, bNear := a.Peer.Zone == n.self.Zone, b.Peer.Zone == n.self.Zone; {
		case aNear == bNear:
			return 0
		case aNear:
			return -1
		default:
			return 1
		}
	})
	return peers[:min(len(peers), maxPeersAsked)]
}

// fetchFromPeer requests the document from the peers in turn, and reports whether one of
// them has returned it.
func (n *Node) fetchFromPeer(peers []*RemoteNode, result *fetchResult) bool {
	for _, peer := range peers {
		requestedAt := model.Now()
		document, age, err := n.requestDocument(peer)
		if err != nil {
			result.peerErr = err
			continue
		}
		// The age was taken after the request was sent, so this moment is not too late.
		result.document, result.requestedAt, result.from = document, requestedAt.Add(-age), peer.Peer.VM
		return true
	}
	return false
}

// requestDocument requests a peer's document, and returns with it the time since its last
// verification.
func (n *Node) requestDocument(peer *RemoteNode) (routing.Document, time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	address := n.config.Settings.MeshAddress(peer.Peer.VM)
	reply, err := rpc.Call[stateRequest, stateReply](ctx, n.client, address, rpc.MethodOperatorState, stateRequest{Compressed: true})
	if err != nil {
		return routing.Document{}, 0, err
	}
	document, err := documentOf(reply)
	return document, time.Duration(reply.AgeMillis) * time.Millisecond, err
}
