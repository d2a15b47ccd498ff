package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/request"
	standin "github.com/balsamlink/balsamlink/internal/standin/target"
	"github.com/balsamlink/balsamlink/internal/standin/targetapi"
	"github.com/balsamlink/balsamlink/internal/target/http1"
)

const (
	// benchCallers bounds the requests that a bench has open.
	benchCallers  = 2000
	benchFileSize = 4 << 10
)

// agentBench is one agent's request layer before a stand-in target, without the
// path of QUIC datagrams in front of it.
type agentBench struct {
	target  *standin.Target
	handler *request.Handler
	module  *http1.Module
	server  *http.Server
	client  *http.Client
	url     string
	// direct is the address of the target itself.
	direct string
	random *rand.Rand
}

func newAgentBench(seed uint64, config standin.Config) (*agentBench, error) {
	b := &agentBench{
		target: standin.New(config), module: &http1.Module{}, random: rand.New(rand.NewPCG(seed, 1)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}},
	}
	targetListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	b.direct = "http://" + targetListener.Addr().String()
	go func() { _ = b.target.Serve(targetListener) }() // ends with Close
	settings, err := json.Marshal(http1.Settings{
		Address: targetListener.Addr().(*net.TCPAddr).AddrPort(), Slots: config.Slots,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	if err := b.module.Provision(kernel.Env{Log: logrus.NewEntry(log)}, settings); err != nil {
		return nil, Error.Wrap(err)
	}
	b.handler = request.New(request.Config{Target: b.module, Log: logrus.NewEntry(log)})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	b.server = &http.Server{Handler: b.handler}
	go func() { _ = b.server.Serve(listener) }() // ends with Close
	b.url = "http://" + listener.Addr().String()
	return b, nil
}

func (b *agentBench) close() error {
	b.client.CloseIdleConnections()
	err := errs.Combine(b.server.Close(), b.target.Close(), b.module.Stop())
	b.handler.Close()
	return Error.Wrap(err)
}

// sample is what became of one request of a bench.
type sample struct {
	booking bool
	ok      bool
	refused bool
	wrong   bool
	at      time.Duration
	took    time.Duration
}

// offerLoad sends requests at a rate, half of them bookings, and returns what
// became of them in no particular order.
func (b *agentBench) offerLoad(ctx context.Context, rate float64, d, deadline time.Duration) []sample {
	var (
		mu      sync.Mutex
		samples []sample
		open    sync.WaitGroup
		callers = make(chan struct{}, benchCallers)
		began   = time.Now()
		next    time.Duration
	)
	for next < d && ctx.Err() == nil {
		next += time.Duration(b.random.ExpFloat64() / rate * float64(time.Second))
		pause(ctx, next-time.Since(began))
		booking, nonce := b.random.IntN(2) == 0, fmt.Sprintf("%016x", b.random.Uint64())
		callers <- struct{}{}
		open.Go(func() {
			s := b.send(ctx, booking, nonce, deadline)
			s.at = time.Since(began)
			mu.Lock()
			samples = append(samples, s)
			mu.Unlock()
			<-callers
		})
	}
	open.Wait()
	return samples
}

func (b *agentBench) send(ctx context.Context, booking bool, nonce string, deadline time.Duration) sample {
	s := sample{booking: booking}
	method, path, size := http.MethodGet, fmt.Sprintf("%s?%s=%d", targetapi.PathFile, targetapi.QuerySize, benchFileSize), int64(benchFileSize)
	if booking {
		method, path, size = http.MethodPost, targetapi.PathBooking, targetapi.BookingSize
	}
	r, err := http.NewRequestWithContext(ctx, method, b.url+path, nil)
	if err != nil {
		return s
	}
	r.Header.Set(targetapi.HeaderNonce, nonce)
	r.Header.Set(request.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	began := time.Now()
	response, err := b.client.Do(r)
	if err != nil {
		return s
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	s.took = time.Since(began)
	s.refused = response.Header.Get(request.HeaderOutcome) == string(request.OutcomeNotRun)
	if err != nil || response.StatusCode >= http.StatusMultipleChoices {
		return s
	}
	want, err := io.ReadAll(targetapi.Body(nonce, size))
	s.wrong = err != nil || !bytes.Equal(body, want)
	s.ok = !s.wrong && s.took <= deadline
	return s
}

// untilFull offers a load until the limit is at the slots, and returns how long
// that took.
func (b *agentBench) untilFull(ctx context.Context, rate float64, most, deadline time.Duration) (time.Duration, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.offerLoad(ctx, rate, most, deadline)
	}()
	for b.handler.Load().Limit < b.handler.Load().Slots && ctx.Err() == nil {
		pause(ctx, 10*time.Millisecond)
	}
	took := time.Since(began)
	full := ctx.Err() == nil
	cancel()
	<-done
	if !full {
		return took, Error.New("the limit was not at the slots after %s", most)
	}
	return took, nil
}
