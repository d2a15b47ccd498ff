package target

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/balsamlink/balsamlink/internal/standin/targetapi"
)

const (
	// maxResponseSize and maxRequestSize are the maximum sizes of bodies, in bytes.
	maxResponseSize = 1 << 30
	maxRequestSize  = 8 << 20
	// maxFeedInterval is the maximum time between the blocks of a feed.
	maxFeedInterval = time.Minute
)

// admission is the decision about an incoming request.
type admission uint8

const (
	admitted admission = iota
	// rejectedFull requests found no free slot, or Fault.Shed was set.
	rejectedFull
	// rejectedCollapsed requests came during a collapse.
	rejectedCollapsed
)

func (t *Target) serveBooking(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "a booking is POST", http.StatusMethodNotAllowed)
		return
	}
	t.serve(w, r, func(l *Ledger) { l.Bookings++ }, func() {
		w.Header().Set("Content-Length", strconv.Itoa(targetapi.BookingSize))
		w.WriteHeader(http.StatusCreated)
		t.sendBody(w, r, targetapi.BookingSize)
	})
}

func (t *Target) serveFile(w http.ResponseWriter, r *http.Request) {
	size, err := queryNumber(r, targetapi.QuerySize, maxResponseSize)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.serve(w, r, func(l *Ledger) { l.Files++ }, func() {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		t.sendBody(w, r, size)
	})
}

func (t *Target) serveFeed(w http.ResponseWriter, r *http.Request) {
	blocks, err := queryNumber(r, targetapi.QueryBlocks, maxResponseSize/targetapi.BlockSize)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	interval, err := queryNumber(r, targetapi.QueryInterval, maxFeedInterval.Milliseconds())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.serve(w, r, func(l *Ledger) { l.Feeds++ }, func() {
		t.streamFeed(w, r, blocks, time.Duration(interval)*time.Millisecond)
	})
}

// serve runs a request: first its service phase, which counts against the
// target's capacity, and then reply, which writes the response. A request holds a
// slot until its response is complete. count counts a request of its kind in the
// ledger.
func (t *Target) serve(w http.ResponseWriter, r *http.Request, count func(*Ledger), reply func()) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxRequestSize)); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if t.takeBreak(StepBeforeRun) {
		resetConnection(w)
		return
	}
	decision, serviceTime := t.admit(r, count)
	switch decision {
	case rejectedFull:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	case rejectedCollapsed:
		http.Error(w, "collapsed", http.StatusInternalServerError)
		return
	}
	defer t.releaseSlot()
	completed := t.runService(r.Context(), serviceTime)
	t.endService(completed)
	if !completed {
		resetConnection(w)
		return
	}
	if t.takeBreak(StepAfterRun) {
		resetConnection(w)
		return
	}
	w.Header().Set(targetapi.HeaderNonce, r.Header.Get(targetapi.HeaderNonce))
	t.markDraining(w)
	reply()
}

// markDraining announces in a response that the target is draining.
func (t *Target) markDraining(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault.Draining {
		w.Header().Set("Balsam-Target-State", "draining")
	}
}

// admit decides about a request. It records an admitted request and returns its
// service time.
func (t *Target) admit(r *http.Request, count func(*Ledger)) (admission, time.Duration) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.downUntil) {
		return rejectedCollapsed, 0
	}
	if t.fault.Shed || t.inFlight >= t.config.Slots {
		t.ledger.Shed++
		return rejectedFull, 0
	}
	t.inFlight++
	t.inService++
	t.ledger.MaxInFlight = max(t.ledger.MaxInFlight, t.inFlight)
	t.recordDeadline(r)
	t.checkOverload(now)
	count(&t.ledger)
	t.ledger.recordRun(r.Header.Get(targetapi.HeaderNonce), r.Header.Get(targetapi.HeaderKey))
	slowdown := t.warmUp.slowdown(now)
	extra := time.Duration(t.fault.ExtraMs) * time.Millisecond
	return admitted, time.Duration(float64(t.config.ServiceTime)*slowdown) + extra
}

func (t *Target) recordDeadline(r *http.Request) {
	ms, err := strconv.ParseInt(r.Header.Get("Balsam-Deadline-Ms"), 10, 64)
	if err != nil {
		return
	}
	t.ledger.Deadlines++
	t.ledger.LastDeadlineMs = ms
}

// checkOverload collapses the target, and makes it cold again from the end of the
// collapse, when the requests in service have exceeded the capacity for
// Config.CollapseAfter. The caller holds t.mu.
func (t *Target) checkOverload(now time.Time) {
	if t.inService <= t.warmUp.capacity(now) {
		t.overloadedSince = time.Time{}
		return
	}
	if t.overloadedSince.IsZero() {
		t.overloadedSince = now
	}
	if now.Sub(t.overloadedSince) < t.config.CollapseAfter || now.Before(t.downUntil) {
		return
	}
	t.ledger.Collapses++
	t.downUntil = now.Add(t.config.CollapseDuration)
	t.warmUp.restart(t.downUntil)
	t.overloadedSince = time.Time{}
}

// runService waits for the service time. It returns false when the request was
// cancelled or the target collapsed in the meantime.
func (t *Target) runService(ctx context.Context, serviceTime time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(serviceTime):
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkOverload(now)
	return !now.Before(t.downUntil)
}

// endService ends the service phase of a request. A request that did not complete
// it counts as cancelled.
func (t *Target) endService(completed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inService--
	if completed {
		t.warmUp.served++
	} else {
		t.ledger.Cancelled++
	}
	t.checkOverload(time.Now())
}

func (t *Target) releaseSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

// sendBody writes a response body of size bytes.
func (t *Target) sendBody(w http.ResponseWriter, r *http.Request, size int64) {
	body := targetapi.Body(r.Header.Get(targetapi.HeaderNonce), size)
	if t.takeBreak(StepMidAnswer) {
		_, _ = io.CopyN(w, body, size/2)
		_ = http.NewResponseController(w).Flush() // the connection breaks next in any case
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(w, body) // the caller detects a truncated body
}

// streamFeed writes a number of blocks, one per interval.
func (t *Target) streamFeed(w http.ResponseWriter, r *http.Request, blocks int64, interval time.Duration) {
	body := targetapi.Body(r.Header.Get(targetapi.HeaderNonce), blocks*targetapi.BlockSize)
	control := http.NewResponseController(w)
	for block := range blocks {
		if block > 0 && !pause(r.Context(), interval) {
			t.recordCancelled()
			panic(http.ErrAbortHandler)
		}
		if block == blocks/2 && t.takeBreak(StepMidAnswer) {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.CopyN(w, body, targetapi.BlockSize); err != nil {
			t.recordCancelled()
			panic(http.ErrAbortHandler)
		}
		_ = control.Flush() // the next write reports a broken connection
	}
}

func (t *Target) recordCancelled() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Cancelled++
}

// pause waits for d. It returns false when the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func queryNumber(r *http.Request, name string, maximum int64) (int64, error) {
	text := r.URL.Query().Get(name)
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 || value > maximum {
		return 0, Error.New("query parameter %s: %q is not a number from 0 to %d", name, text, maximum)
	}
	return value, nil
}
