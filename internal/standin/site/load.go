package site

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// requestDeadline bounds the wait for a response.
	requestDeadline = 4 * time.Second
	// requestPause is the time between a response on a client's held flow and the next
	// request there.
	requestPause = 100 * time.Millisecond
	// heldFlowSize and fileSize are the response sizes, in bytes, of requests on held
	// flows and of files.
	heldFlowSize = 2000
	fileSize     = 40_000
	// requestsPerFile is the number of requests on a client's held flow for each file
	// that it fetches on a separate flow.
	requestsPerFile = 5
)

// Tally counts the outcomes of a load's requests, as Outcome describes them, and the
// faults observed.
type Tally struct {
	Served    int `json:"served"`
	NotOpened int `json:"not_opened"`
	TimedOut  int `json:"late"`
	Reset     int `json:"reset"`
	Closed    int `json:"closed"`
	Wrong     int `json:"wrong"`
	// Broken flows were reset or timed out while their target still held them.
	Broken int `json:"broken"`
	// InvalidPackets is the result of Site.InvalidPackets after the load.
	InvalidPackets int `json:"forged"`
}

// RunLoad runs clients that hold flows open and fetch files until the context is
// done, and returns their counts. It fails only when a client can't be created.
func (s *Site) RunLoad(ctx context.Context, clients int) (Tally, error) {
	load := &load{site: s}
	var running sync.WaitGroup
	for n := range clients {
		client, err := s.NewClient(s.shape.Zones[n%len(s.shape.Zones)], n/len(s.shape.Zones))
		if err != nil {
			return Tally{}, err
		}
		running.Go(func() { load.run(ctx, client, n) })
	}
	running.Wait()
	load.tally.InvalidPackets = s.InvalidPackets()
	return load.tally, nil
}

// load is the state that the clients of one call of RunLoad share.
type load struct {
	site  *Site
	mu    sync.Mutex
	tally Tally
}

// run sends the requests of the nth client until the context is done.
func (l *load) run(ctx context.Context, client *Client, n int) {
	serviceCount := len(l.site.shape.Services)
	var held *Flow
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("c%d-%d", n, i)
		if i%requestsPerFile == 0 {
			l.fetchFile(client, id, (n+i)%serviceCount)
		}
		held = l.requestOnHeldFlow(client, held, id, n%serviceCount)
		time.Sleep(requestPause)
	}
	if held != nil {
		held.Close()
	}
}

// requestOnHeldFlow sends a request on the held flow, opening one if necessary. It
// returns the flow for the next request, or nil if that flow can't be used again.
func (l *load) requestOnHeldFlow(client *Client, held *Flow, id string, service int) *Flow {
	if held != nil && held.WasReset() {
		l.countBroken(held)
		held = nil
	}
	if held == nil {
		if held = client.Open(l.site.Address(service)); held == nil {
			l.count(OutcomeNotOpened)
			return nil
		}
	}
	if l.request(held, id, heldFlowSize) != OutcomeServed {
		held.Close()
		return nil
	}
	return held
}

// fetchFile sends one request on a new flow.
func (l *load) fetchFile(client *Client, id string, service int) {
	opened := client.Open(l.site.Address(service))
	if opened == nil {
		l.count(OutcomeNotOpened)
		return
	}
	l.request(opened, id+"-file", fileSize)
	opened.Close()
}

func (l *load) request(f *Flow, id string, size int) Outcome {
	var names []string
	for _, service := range l.site.shape.Services {
		names = append(names, service.Name)
	}
	outcome := f.Request(id, size, names, requestDeadline)
	l.count(outcome)
	if outcome == OutcomeReset || outcome == OutcomeTimedOut {
		l.countBroken(f)
	}
	return outcome
}

// countBroken counts a flow that failed although its target still holds it.
func (l *load) countBroken(f *Flow) {
	if l.site.FlowTarget(f.Key) == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.Broken++
}

func (l *load) count(outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch outcome {
	case OutcomeServed:
		l.tally.Served++
	case OutcomeNotOpened:
		l.tally.NotOpened++
	case OutcomeReset:
		l.tally.Reset++
	case OutcomeClosed:
		l.tally.Closed++
	case OutcomeTimedOut:
		l.tally.TimedOut++
	case OutcomeWrong:
		l.tally.Wrong++
	}
}
