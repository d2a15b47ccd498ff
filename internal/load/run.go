package load

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// The QUIC settings of a caller's flow.
const (
	idleTimeout       = 30 * time.Second
	keepAliveInterval = time.Second
	handshakeTimeout  = 5 * time.Second
)

// Run sends requests as configured and returns their records. Cancelling the
// context cancels the requests in flight and ends the run early; closing config.Stop
// ends it early once the requests in flight have ended. progress is called once per
// second; it may be nil.
func Run(ctx context.Context, config Config, progress func(*Recorder)) (*Recorder, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	recorder := newRecorder()
	stop := make(chan struct{})
	var reporting, callers sync.WaitGroup
	if progress != nil {
		reporting.Go(func() { reportProgress(recorder, progress, stop) })
	}
	start := time.Now()
	for index := range config.Feeds + config.Files + config.Bookings {
		caller := newCaller(config, recorder, index, start)
		callers.Go(func() { caller.run(ctx) })
	}
	callers.Wait()
	close(stop)
	reporting.Wait()
	return recorder, nil
}

const progressInterval = time.Second

func reportProgress(recorder *Recorder, progress func(*Recorder), stop chan struct{}) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			progress(recorder)
		}
	}
}

// caller is a client with its own UDP socket. It has one flow at a time, apart from the
// flows of repeats.
type caller struct {
	config   Config
	recorder *Recorder
	index    int
	kind     Kind
	service  Service
	start    time.Time
	random   *rand.Rand
}

func newCaller(config Config, recorder *Recorder, index int, start time.Time) *caller {
	c := &caller{
		config:   config,
		recorder: recorder,
		index:    index,
		kind:     kindOfCaller(config, index),
		service:  serviceOfCaller(config, index),
		start:    start,
		random:   rand.New(rand.NewPCG(config.Seed, uint64(index))),
	}
	return c
}

// serviceOfCaller selects the last service for files and the first for all other
// kinds, which matches the order of the services in deployment.Shapes.
func serviceOfCaller(config Config, index int) Service {
	if kindOfCaller(config, index) == KindFile {
		return config.Services[len(config.Services)-1]
	}
	return config.Services[0]
}

// kindOfCaller returns the kind of the requests of a caller: the callers of feeds come
// first, then those of files and those of bookings.
func kindOfCaller(config Config, index int) Kind {
	switch {
	case index < config.Feeds:
		return KindFeed
	case index < config.Feeds+config.Files:
		return KindFile
	default:
		return KindBooking
	}
}

// run sends requests until the caller is finished, on successive flows.
func (c *caller) run(ctx context.Context) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		c.recorder.addRequest(Request{Kind: c.kind, Result: ResultNoFlow, Error: err.Error()})
		return
	}
	defer socket.Close()
	endpoint := &quic.Transport{Conn: socket}
	defer endpoint.Close()
	for sequence := 0; sequence < c.config.MaxRequests && !c.finished(ctx); {
		sequence = c.runFlow(ctx, endpoint, sequence)
	}
}

// runFlow sends requests on one flow and returns the sequence number of the next
// request.
func (c *caller) runFlow(ctx context.Context, endpoint *quic.Transport, sequence int) int {
	transport := c.transport(endpoint)
	defer transport.Close()
	client := &http.Client{Transport: transport}
	end := c.config.MaxRequests
	if c.config.RequestsPerFlow > 0 {
		end = min(end, sequence+c.config.RequestsPerFlow)
	}
	for ; sequence < end && !c.finished(ctx); sequence++ {
		c.sendRequest(ctx, client, sequence, firstRequestNonce)
		c.sendRepeat(ctx, endpoint, sequence)
		c.pause(ctx)
	}
	return sequence
}

// sendRepeat sends a booking a second time with the same idempotency key on a new
// flow, if the configuration selects this sequence number.
func (c *caller) sendRepeat(ctx context.Context, endpoint *quic.Transport, sequence int) {
	if c.kind != KindBooking || c.config.RepeatEvery == 0 || sequence%c.config.RepeatEvery != 0 {
		return
	}
	transport := c.transport(endpoint)
	defer transport.Close()
	c.sendRequest(ctx, &http.Client{Transport: transport}, sequence, repeatNonce)
}

// firstRequestNonce returns the nonce of the first request of a sequence number.
func firstRequestNonce(seed uint64, caller, sequence int) string {
	return fmt.Sprintf("%d-%d-%d", seed, caller, sequence)
}

// repeatNonce returns the nonce of the repeat of a sequence number.
func repeatNonce(seed uint64, caller, sequence int) string {
	return firstRequestNonce(seed, caller, sequence) + "-again"
}

// finished reports whether the caller must start no further request.
func (c *caller) finished(ctx context.Context) bool {
	select {
	case <-c.config.Stop:
		return true
	case <-ctx.Done():
		return true
	default:
		return time.Since(c.start) >= c.config.Duration
	}
}

// transport returns an HTTP/3 transport that opens its own flow over the caller's socket.
func (c *caller) transport(endpoint *quic.Transport) *http3.Transport {
	return &http3.Transport{
		TLSClientConfig:    c.config.tlsConfig(c.service),
		DisableCompression: true,
		QUICConfig: &quic.Config{
			HandshakeIdleTimeout: handshakeTimeout,
			MaxIdleTimeout:       idleTimeout,
			KeepAlivePeriod:      keepAliveInterval,
		},
		Dial: func(ctx context.Context, _ string, tlsConfig *tls.Config, config *quic.Config) (*quic.Conn, error) {
			conn, err := endpoint.Dial(ctx, net.UDPAddrFromAddrPort(c.service.Address), tlsConfig, config)
			c.recorder.addDial(err != nil)
			if err != nil {
				return nil, &dialError{err}
			}
			return conn, nil
		},
	}
}

// sendRequest sends the request of a sequence number, or its repeat, depending on nonceFor,
// and records its result.
func (c *caller) sendRequest(ctx context.Context, client *http.Client, sequence int, nonceFor func(uint64, int, int) string) {
	nonce := nonceFor(c.config.Seed, c.index, sequence)
	attempt := exchange{
		client:  client,
		host:    c.service.Address.String(),
		config:  c.config,
		kind:    c.kind,
		nonce:   nonce,
		timeout: c.config.RequestTimeout,
	}
	if c.kind == KindBooking {
		first := firstRequestNonce(c.config.Seed, c.index, sequence)
		attempt.idempotencyKey = "key-" + first
		if first != nonce {
			attempt.firstNonce = first
		}
	}
	if len(c.config.Tokens) > 0 {
		attempt.token = c.config.Tokens[c.index%len(c.config.Tokens)]
	}
	started := time.Now()
	c.recorder.addSent()
	record := attempt.run(ctx)
	record.Token = attempt.token
	record.Service = string(c.service.Name)
	record.Start = started.Sub(c.start)
	record.Latency = time.Since(started)
	c.recorder.addRequest(record)
}

// pause waits for 0.5 to 1.5 times the configured pause, chosen at random.
func (c *caller) pause(ctx context.Context) {
	wait := time.Duration(float64(c.config.Pause) * (0.5 + c.random.Float64()))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
