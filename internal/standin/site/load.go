package site

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	requestDeadline = 4 * time.Second
	requestPause    = 100 * time.Millisecond
	// feedSize and fileSize are the sizes of answers, in bytes.
	feedSize = 2000
	fileSize = 40_000
	// requestsPerFile is how often a client sends requests on its open flow for
	// each file on a flow of its own.
	requestsPerFile = 5
)

// Tally counts what a load has seen.
type Tally struct {
	Served    int `json:"served"`
	NotOpened int `json:"not_opened"`
	Late      int `json:"late"`
	Reset     int `json:"reset"`
	Closed    int `json:"closed"`
	Wrong     int `json:"wrong"`
	// Broken flows were reset or got no answer while their target held them.
	Broken int `json:"broken"`
	Forged int `json:"forged"`
}

// Load runs clients that hold flows open and fetch files until the context ends.
// It returns what they have seen.
func (s *Site) Load(ctx context.Context, clients int) (Tally, error) {
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
	load.tally.Forged = s.Forged()
	return load.tally, nil
}

type load struct {
	site  *Site
	mu    sync.Mutex
	tally Tally
}

func (l *load) run(ctx context.Context, client *Client, n int) {
	services := len(l.site.shape.Services)
	var held *Flow
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("c%d-%d", n, i)
		if i%requestsPerFile == 0 {
			l.file(client, id, (n+i)%services)
		}
		held = l.feed(client, held, id, n%services)
		time.Sleep(requestPause)
	}
	if held != nil {
		held.Close()
	}
}

// feed sends a request on an open flow, and opens one where there is none.
func (l *load) feed(client *Client, held *Flow, id string, service int) *Flow {
	if held != nil && held.Reset() {
		l.noteReset(held)
		held = nil
	}
	if held == nil {
		if held = client.Open(l.site.Address(service)); held == nil {
			l.count(OutcomeNotOpened)
			return nil
		}
	}
	if l.request(held, id, feedSize) != OutcomeServed {
		held.Close()
		return nil
	}
	return held
}

func (l *load) file(client *Client, id string, service int) {
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
	if outcome == OutcomeReset || outcome == OutcomeLate {
		l.noteReset(f)
	}
	return outcome
}

// noteReset counts a flow as broken whose target still holds it.
func (l *load) noteReset(f *Flow) {
	if l.site.Holder(f.Key) == nil {
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
	case OutcomeLate:
		l.tally.Late++
	case OutcomeWrong:
		l.tally.Wrong++
	}
}
