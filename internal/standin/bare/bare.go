// Package bare is the baseline of the experiment relay-cost, which measures what
// balancers and agents add to the cost of a request: an HTTP/3 server that answers
// the load tool's file requests directly, without a balancer or an agent in between.
package bare

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/quic-go/quic-go/http3"
	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/standin/targetapi"
)

// Error is the class of all errors of this package.
var Error = errs.Class("bare server")

// Serve serves file requests on a UDP address until the context ends, and returns
// nil then.
func Serve(ctx context.Context, listen netip.AddrPort, certificate tls.Certificate) error {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return Error.Wrap(err)
	}
	defer socket.Close()
	server := &http3.Server{
		Handler:   http.HandlerFunc(serveFile),
		TLSConfig: http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{certificate}}),
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err = server.Serve(socket)
	if ctx.Err() != nil {
		return nil
	}
	return Error.Wrap(err)
}

// serveFile answers a request to any path with a body of the requested size, as the
// stand-in target does.
func serveFile(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.URL.Query().Get(targetapi.QuerySize), 10, 64)
	if err != nil || size < 0 {
		http.Error(w, "size: not a number of bytes", http.StatusBadRequest)
		return
	}
	nonce := r.Header.Get(targetapi.HeaderNonce)
	w.Header().Set(targetapi.HeaderNonce, nonce)
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	io.Copy(w, targetapi.Body(nonce, size))
}

// Command returns the command "bare" of balsamdev.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "bare",
		Usage: "run an HTTP/3 server without a load balancer, as a baseline",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "UDP address to listen on", Required: true},
			&cli.StringFlag{Name: "certificate", Usage: "PEM `FILE` with the certificate", Required: true},
			&cli.StringFlag{Name: "key", Usage: "PEM `FILE` with the private key", Required: true},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			listen, err := netip.ParseAddrPort(command.String("listen"))
			if err != nil {
				return Error.New("listen: %v", err)
			}
			certificate, err := tls.LoadX509KeyPair(command.String("certificate"), command.String("key"))
			if err != nil {
				return Error.New("certificate and key: %v", err)
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return Serve(ctx, listen, certificate)
		},
	}
}
