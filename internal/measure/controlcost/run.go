package controlcost

import (
	"context"
	"fmt"
	"time"

	"github.com/balsamlink/balsamlink/internal/cluster"
	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

const (
	// settleTime is the time in which the initial records are forwarded.
	settleTime = 3 * time.Second
	// changeCount is the number of changed records in measureChanges; changeTime is the
	// time in which the last of them are forwarded.
	changeCount = 20
	changeTime  = 3 * time.Second
	// syncCount and fetchCount are the numbers of repetitions in measureSyncs and
	// measureDocuments.
	syncCount  = 10
	fetchCount = 5
	// copiesPerChange is how many times a change reaches a node when every balancer
	// forwards it to four others.
	copiesPerChange = 4
	// packetHeaderSize is the size of the IP and TCP headers of a packet, in bytes.
	packetHeaderSize = 52
	// DocumentSize is the size of the text of the measured document, in bytes.
	DocumentSize = 20_000
	// documentRevision is the newest revision of the document, which nodes that hold the
	// previous one fetch.
	documentRevision = 2
)

// Run measures a balancer in a fleet of each size: first in the steady state for
// the duration of window, then during changes. It returns an error if a size has too
// few balancers or agents, or a measurement fails.
func Run(ctx context.Context, seed uint64, sizes []Size, window time.Duration) (Result, error) {
	result := Result{Seed: seed, Window: window}
	for _, size := range sizes {
		if size.Balancers < watchersPerNode+1 || size.Agents < 1 {
			return result, Error.New("sizes: %+v is too small to measure", size)
		}
		sample, err := measure(ctx, size, seed, window)
		if err != nil {
			return result, Error.New("%d balancers, %d agents: %v", size.Balancers, size.Agents, err)
		}
		result.Samples = append(result.Samples, sample)
	}
	result.Bytes = fit(result.Samples, BoundBytesPerSecond, func(s Sample) float64 { return s.DayBytesPerSecond })
	result.Core = fit(result.Samples, BoundCoreShare, func(s Sample) float64 { return s.CoreShare })
	result.Memory = fit(result.Samples, BoundMemoryBytes, func(s Sample) float64 { return s.HeapBytes })
	return result, nil
}

// measure returns the sample of one fleet size.
func measure(ctx context.Context, size Size, seed uint64, window time.Duration) (Sample, error) {
	heapBefore := heapBytes()
	f, err := newFleet(ctx, size, seed)
	if err != nil {
		return Sample{}, err
	}
	defer f.close()
	sample := Sample{Size: size, Watched: f.startPeers()}
	if err := pause(f.ctx, settleTime); err != nil {
		return sample, err
	}
	sample.HeapBytes = heapBytes() - heapBefore
	steps := []func(*Sample) error{
		func(s *Sample) error { return f.measureSteady(s, window) }, f.measureChanges, f.measureSyncs, f.measureDocuments,
	}
	for _, step := range steps {
		if err := step(&sample); err != nil {
			return sample, err
		}
	}
	sample.addDayMean()
	return sample, nil
}

// measureSteady measures the steady state, without changes. It fails if the measured
// node has not kept all nodes in its view.
func (f *fleet) measureSteady(s *Sample, window time.Duration) error {
	before := f.meter.read()
	if err := pause(f.ctx, window); err != nil {
		return err
	}
	after := f.meter.read()
	seconds := after.at.Sub(before.at).Seconds()
	s.BytesPerSecond = (after.bytes() - before.bytes()) / seconds
	s.SentPerSecond = float64(after.sent-before.sent) / seconds
	s.MessagesPerSecond = float64(after.messages-before.messages) / seconds
	s.PacketBytesPerSecond = s.BytesPerSecond + s.MessagesPerSecond*packetHeaderSize
	s.CoreShare = (after.cpuTime - before.cpuTime).Seconds() / seconds
	if known := len(f.node.View().Records); known != f.size.Nodes() {
		return Error.New("the measured node has %d of %d nodes in its view", known, f.size.Nodes())
	}
	return nil
}

// measureChanges pushes changed records, each copiesPerChange times, and subtracts
// the steady-state traffic.
func (f *fleet) measureChanges(s *Sample) error {
	client := rpc.NewClient(f.keyring.ClientTLS())
	defer client.Close()
	// An empty push establishes the connection before the measurement.
	if err := f.push(client, nil); err != nil {
		return err
	}
	before := f.meter.read()
	for i := range changeCount {
		// The first f.size.Balancers-1 records are those of the fake balancers.
		record := &f.records[f.size.Balancers+i%f.size.Agents-1]
		record.Version++
		for range copiesPerChange {
			if err := f.push(client, []membership.Record{*record}); err != nil {
				return err
			}
		}
	}
	if err := pause(f.ctx, changeTime); err != nil {
		return err
	}
	after := f.meter.read()
	steady := s.BytesPerSecond * after.at.Sub(before.at).Seconds()
	s.BytesPerChange = max(0, after.bytes()-before.bytes()-steady) / changeCount
	return nil
}

// measureSyncs repeatedly fetches one record that an agent lacks.
func (f *fleet) measureSyncs(s *Sample) error {
	agent := f.records[len(f.records)-1]
	// The agent's table holds all records that it needs but the first balancer's.
	table, err := membership.NewTable(agent, membership.Scope{Service: agent.Service})
	if err != nil {
		return Error.Wrap(err)
	}
	missing := f.records[0].Node
	for _, record := range f.node.View().Records {
		if record.Node == missing {
			continue
		}
		if _, err := table.Merge(record, model.Now()); err != nil {
			return Error.Wrap(err)
		}
	}
	client := rpc.NewClient(f.keyring.ClientTLS())
	defer client.Close()
	return f.bytesPerCall(syncCount, &s.BytesPerSync, func() error { return f.syncOnce(client, table, agent.Service) })
}

// syncOnce finds the records that an agent's table lacks and fetches them, without
// adding them to the table.
func (f *fleet) syncOnce(client *rpc.Client, table *membership.Table, service model.Service) error {
	scope := membership.Scope{Service: service}
	request := cluster.SyncRequest{Service: service, Buckets: table.Buckets(scope)}
	reply, err := rpc.Call[cluster.SyncRequest, cluster.SyncReply](
		f.ctx, client, f.self.Control, rpc.MethodSync, request)
	if err != nil {
		return Error.Wrap(err)
	}
	_, want := table.Compare(scope, reply.DifferingBuckets, reply.Versions)
	if len(want) == 0 {
		return Error.New("the measured node reported no record that the agent lacks")
	}
	_, err = rpc.Call[cluster.SyncRequest, cluster.SyncReply](
		f.ctx, client, f.self.Control, rpc.MethodSync, cluster.SyncRequest{Want: want})
	return Error.Wrap(err)
}

// measureDocuments fetches the newest revision of a document on behalf of nodes that
// hold the previous one. The two differ in one byte of the text and in the revision.
func (f *fleet) measureDocuments(s *Sample) error {
	// The document holds two hex digits for each byte of the text.
	text := make([]byte, DocumentSize/2)
	for i := range text {
		text[i] = byte(f.random.Uint32())
	}
	for revision := range model.Revision(documentRevision) {
		offset := f.random.IntN(len(text))
		text[offset]++
		body := fmt.Appendf(nil, `{"revision":%d,"text":"%x"}`, revision+1, text)
		document := cluster.Document{Kind: model.DocumentOutOfService, Revision: revision + 1, Body: body}
		if err := f.node.SubmitDocument(f.ctx, document); err != nil {
			return Error.Wrap(err)
		}
	}
	f.revision.Store(documentRevision)
	client := rpc.NewClient(f.keyring.ClientTLS())
	defer client.Close()
	return f.bytesPerCall(fetchCount, &s.BytesPerDocument, func() error {
		request := cluster.DocumentRequest{Kind: model.DocumentOutOfService, Have: documentRevision - 1}
		_, err := rpc.Call[cluster.DocumentRequest, cluster.DocumentReply](
			f.ctx, client, f.self.Control, rpc.MethodFetchDocument, request)
		return Error.Wrap(err)
	})
}

// bytesPerCall sets bytes to the mean traffic of one call. A first call that is not
// counted establishes the connection.
func (f *fleet) bytesPerCall(count int, bytes *float64, call func() error) error {
	if err := call(); err != nil {
		return err
	}
	before := f.meter.read()
	for range count {
		if err := call(); err != nil {
			return err
		}
	}
	*bytes = (f.meter.read().bytes() - before.bytes()) / float64(count)
	return nil
}
