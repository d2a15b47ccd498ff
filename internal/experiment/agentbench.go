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
	// maxConcurrentRequests is the maximum number of requests in flight in a bench.
	maxConcurrentRequests = 2000
	// benchFileSize is the size of a requested file, in bytes.
	benchFileSize = 4 << 10
)

// agentBench is a test bench: the request layer of one agent in front of a stand-in
// target, both in this process. Requests reach the agent over HTTP/1.1, without
// balancers or QUIC.
type agentBench struct {
	target       *standin.Target
	handler      *request.Handler
	targetModule *http1.Module
	server       *http.Server
	client       *http.Client
	// url is the base URL that requests are sent to: the agent's, or targetURL to
	// bypass the agent.
	url string
	// targetURL is the base URL of the target.
	targetURL string
	random    *rand.Rand
}

// newAgentBench starts a target and an agent in front of it. The caller must call
// close.
func newAgentBench(seed uint64, config standin.Config) (*agentBench, error) {
	b := &agentBench{
		target: standin.New(config), targetModule: &http1.Module{}, random: rand.New(rand.NewPCG(seed, 1)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConcurrentRequests}},
	}
	targetListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	b.targetURL = "http://" + targetListener.Addr().String()
	go func() { _ = b.target.Serve(targetListener) }() // ends with Close
	settings, err := json.Marshal(http1.Settings{
		Address: targetListener.Addr().(*net.TCPAddr).AddrPort(), Slots: config.Slots,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	if err := b.targetModule.Provision(kernel.Env{Log: logrus.NewEntry(log)}, settings); err != nil {
		return nil, Error.Wrap(err)
	}
	b.handler = request.New(request.Config{Target: b.targetModule, Log: logrus.NewEntry(log)})
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
	err := errs.Combine(b.server.Close(), b.target.Close(), b.targetModule.Stop())
	b.handler.Close()
	return Error.Wrap(err)
}

// sample is the result of one request of a bench. A request without a response is
// neither answered, refused nor wrong.
type sample struct {
	booking bool
	// answered means that the correct answer arrived before the deadline.
	answered bool
	// refused means that the request was reported as not run.
	refused bool
	// wrong means that a successful response had an unexpected body.
	wrong bool
	// endedAt is the time from the start of the load to the end of the request.
	endedAt time.Duration
	latency time.Duration
}

// sendLoad sends requests for a duration as a Poisson process, half of them bookings,
// and returns their samples in no particular order once all have ended. rate is the
// mean number of requests per second.
func (b *agentBench) sendLoad(ctx context.Context, rate float64, duration, deadline time.Duration) []sample {
	var (
		mu        sync.Mutex
		samples   []sample
		inFlight  sync.WaitGroup
		semaphore = make(chan struct{}, maxConcurrentRequests)
		started   = time.Now()
		sendAt    time.Duration
	)
	for sendAt < duration && ctx.Err() == nil {
		sendAt += time.Duration(b.random.ExpFloat64() / rate * float64(time.Second))
		pause(ctx, sendAt-time.Since(started))
		booking, nonce := b.random.IntN(2) == 0, fmt.Sprintf("%016x", b.random.Uint64())
		semaphore <- struct{}{}
		inFlight.Go(func() {
			s := b.send(ctx, booking, nonce, deadline)
			s.endedAt = time.Since(started)
			mu.Lock()
			samples = append(samples, s)
			mu.Unlock()
			<-semaphore
		})
	}
	inFlight.Wait()
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
	started := time.Now()
	response, err := b.client.Do(r)
	if err != nil {
		return s
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	s.latency = time.Since(started)
	s.refused = response.Header.Get(request.HeaderOutcome) == string(request.OutcomeNotRun)
	if err != nil || response.StatusCode >= http.StatusMultipleChoices {
		return s
	}
	want, err := io.ReadAll(targetapi.Body(nonce, size))
	s.wrong = err != nil || !bytes.Equal(body, want)
	s.answered = !s.wrong && s.latency <= deadline
	return s
}

// awaitFullLimit sends a load until the agent's admission limit equals the target's
// slots, and returns the time taken. It returns an error if that takes longer than
// maxTime.
func (b *agentBench) awaitFullLimit(ctx context.Context, rate float64, maxTime, deadline time.Duration) (time.Duration, error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, maxTime)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.sendLoad(ctx, rate, maxTime, deadline)
	}()
	for b.handler.Load().Limit < b.handler.Load().Slots && ctx.Err() == nil {
		pause(ctx, 10*time.Millisecond)
	}
	took := time.Since(started)
	reached := ctx.Err() == nil
	cancel()
	<-done
	if !reached {
		return took, Error.New("the admission limit did not reach the target's slots within %s", maxTime)
	}
	return took, nil
}
