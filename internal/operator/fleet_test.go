package operator

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/rpc"
	"github.com/balsamlink/balsamlink/internal/status"
)

// startSilentSeed starts a seed that answers status requests as the only node, without
// any document, and no longer answers after the given number of them.
func startSilentSeed(t *testing.T, answers int64) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := rpc.NewServer(nil, logrus.NewEntry(log))
	var requests atomic.Int64
	stopped := make(chan struct{})
	server.Handle(rpc.MethodStatus, rpc.TypedHandler(func(_ context.Context, _ rpc.Peer, _ status.Request) (status.Report, error) {
		if requests.Add(1) > answers {
			<-stopped
		}
		self := status.Member{Node: "lb-1", Role: model.RoleBalancer, State: membership.StateActive, Control: address}
		return status.Report{Node: "lb-1", State: membership.StateActive, Members: []status.Member{self}}, nil
	}))
	server.Serve(listener)
	t.Cleanup(func() {
		close(stopped)
		server.Close()
	})
	return address
}

// The end of the wait may cut off a query. What the query before it has shown still
// holds: the change is not in force.
func TestWaitThatEndsDuringAQueryReportsNodesBehind(t *testing.T) {
	tests := map[string]struct {
		answers int64
		behind  int
	}{
		"after one complete query": {2, 1},
		"during the first query":   {0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client := rpc.NewClient(nil)
			t.Cleanup(client.Close)
			fleet := &Fleet{client: client, seeds: []netip.AddrPort{startSilentSeed(t, test.answers)}}
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			progress, err := fleet.Wait(ctx, model.Revisions{1})
			require.Len(t, progress.Behind, test.behind)
			if test.behind > 0 {
				require.ErrorIs(t, err, ErrNotInForce)
			} else {
				require.Error(t, err)
				require.NotErrorIs(t, err, ErrNotInForce)
			}
		})
	}
}
