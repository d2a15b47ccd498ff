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
	maxBodySize     = 1 << 30
	maxRequestBody  = 8 << 20
	maxFeedInterval = time.Minute
)

// verdict is what the target does with a request that came in.
type verdict uint8

const (
	verdictRun verdict = iota
	verdictShed
	verdictFail
)

func (t *Target) serveBooking(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "a booking is POST", http.StatusMethodNotAllowed)
		return
	}
	t.serve(w, r, func(l *Ledger) { l.Bookings++ }, func() {
		w.Header().Set("Content-Length", strconv.Itoa(targetapi.BookingSize))
		w.WriteHeader(http.StatusCreated)
		t.send(w, r, targetapi.BookingSize)
	})
}

func (t *Target) serveFile(w http.ResponseWriter, r *http.Request) {
	size, err := number(r, targetapi.QuerySize, maxBodySize)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.serve(w, r, func(l *Ledger) { l.Files++ }, func() {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		t.send(w, r, size)
	})
}

func (t *Target) serveFeed(w http.ResponseWriter, r *http.Request) {
	blocks, err := number(r, targetapi.QueryBlocks, maxBodySize/targetapi.BlockSize)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	interval, err := number(r, targetapi.QueryInterval, maxFeedInterval.Milliseconds())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.serve(w, r, func(l *Ledger) { l.Feeds++ }, func() {
		t.stream(w, r, blocks, time.Duration(interval)*time.Millisecond)
	})
}

// serve runs a request: its service phase, which counts against what the target
// bears, and then its answer.
func (t *Target) serve(w http.ResponseWriter, r *http.Request, count func(*Ledger), reply func()) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxRequestBody)); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if t.breaks(StepBeforeRun) {
		cut(w)
		return
	}
	verdict, service := t.begin(r, count)
	switch verdict {
	case verdictShed:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	case verdictFail:
		http.Error(w, "collapsed", http.StatusInternalServerError)
		return
	}
	defer t.end()
	ok := t.work(r.Context(), service)
	t.leaveService(ok)
	if !ok {
		cut(w)
		return
	}
	if t.breaks(StepAfterRun) {
		cut(w)
		return
	}
	w.Header().Set(targetapi.HeaderNonce, r.Header.Get(targetapi.HeaderNonce))
	t.markDraining(w)
	reply()
}

func (t *Target) markDraining(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault.Draining {
		w.Header().Set("Balsam-Target-State", "draining")
	}
}

func (t *Target) begin(r *http.Request, count func(*Ledger)) (verdict, time.Duration) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.downUntil) {
		return verdictFail, 0
	}
	if t.fault.Shed || t.inFlight >= t.config.Slots {
		t.ledger.Shed++
		return verdictShed, 0
	}
	t.inFlight++
	t.inService++
	t.ledger.MaxInFlight = max(t.ledger.MaxInFlight, t.inFlight)
	t.noteDeadline(r)
	t.strain(now)
	count(&t.ledger)
	t.ledger.ran(r.Header.Get(targetapi.HeaderNonce), r.Header.Get(targetapi.HeaderKey))
	slow := t.warmth.slowness(now)
	extra := time.Duration(t.fault.ExtraMs) * time.Millisecond
	return verdictRun, time.Duration(float64(t.config.ServiceTime)*slow) + extra
}

func (t *Target) noteDeadline(r *http.Request) {
	ms, err := strconv.ParseInt(r.Header.Get("Balsam-Deadline-Ms"), 10, 64)
	if err != nil {
		return
	}
	t.ledger.Deadlines++
	t.ledger.LastDeadlineMs = ms
}

// strain makes the target collapse when it has borne too much for too long.
func (t *Target) strain(now time.Time) {
	if t.inService <= t.warmth.bears(now) {
		t.overSince = time.Time{}
		return
	}
	if t.overSince.IsZero() {
		t.overSince = now
	}
	if now.Sub(t.overSince) < t.config.CollapseAfter || now.Before(t.downUntil) {
		return
	}
	t.ledger.Collapses++
	t.downUntil = now.Add(t.config.CollapseDuration)
	t.warmth.chill(t.downUntil)
	t.overSince = time.Time{}
}

// work waits for the service time. It reports false when the request was
// cancelled or the target collapsed meanwhile.
func (t *Target) work(ctx context.Context, service time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(service):
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.strain(now)
	return !now.Before(t.downUntil)
}

func (t *Target) leaveService(ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inService--
	if ok {
		t.warmth.served++
	} else {
		t.ledger.Cancelled++
	}
	t.strain(time.Now())
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

func (t *Target) send(w http.ResponseWriter, r *http.Request, size int64) {
	body := targetapi.Body(r.Header.Get(targetapi.HeaderNonce), size)
	if t.breaks(StepMidAnswer) {
		_, _ = io.CopyN(w, body, size/2)
		_ = http.NewResponseController(w).Flush() // the cut follows anyhow
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(w, body) // the caller notices a body that is too short
}

func (t *Target) stream(w http.ResponseWriter, r *http.Request, blocks int64, interval time.Duration) {
	body := targetapi.Body(r.Header.Get(targetapi.HeaderNonce), blocks*targetapi.BlockSize)
	control := http.NewResponseController(w)
	for block := range blocks {
		if block > 0 && !pause(r.Context(), interval) {
			t.noteCancelled()
			panic(http.ErrAbortHandler)
		}
		if block == blocks/2 && t.breaks(StepMidAnswer) {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.CopyN(w, body, targetapi.BlockSize); err != nil {
			t.noteCancelled()
			panic(http.ErrAbortHandler)
		}
		_ = control.Flush() // the next write notices a broken connection
	}
}

func (t *Target) noteCancelled() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Cancelled++
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func number(r *http.Request, name string, most int64) (int64, error) {
	text := r.URL.Query().Get(name)
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 || value > most {
		return 0, Error.New("query parameter %s: %q is not a number from 0 to %d", name, text, most)
	}
	return value, nil
}
