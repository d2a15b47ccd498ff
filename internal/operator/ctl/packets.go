package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/packetnode"
)

const (
	// packetCallTimeout is the time limit of a call to one node.
	packetCallTimeout = 2 * time.Second
	// maxPacketCalls limits the concurrent calls to nodes.
	maxPacketCalls = 16
)

// packets is the command for the nodes of the packet path, balsampktlb and
// balsampktagent. It queries the given node and all nodes that this one knows at
// their admin addresses, which must all have the same port.
func (a *app) packets() *cli.Command {
	node := &cli.StringFlag{Name: "node", Usage: "admin `ADDRESS` of any node, as in 10.1.0.10:9180", Required: true}
	flow := &cli.StringFlag{Name: "flow", Usage: "the `FLOW` in the form of the logs: client:port>service:port", Required: true}
	return &cli.Command{
		Name:  "packets",
		Usage: "query the nodes of the packet path",
		Commands: []*cli.Command{
			newCommand("status", "show every node: its state and its configuration version with its age", "", a.packetStatus, node),
			newCommand("why", "explain how a flow is forwarded", "", a.packetWhy, node, flow),
		},
		OnUsageError: usageError,
	}
}

// packetNodeAnswer is one node's answer.
type packetNodeAnswer struct {
	Address netip.AddrPort     `json:"address"`
	Status  *packetnode.Status `json:"status,omitempty"`
	Why     []string           `json:"why,omitempty"`
	Error   string             `json:"error,omitempty"`
}

func (a *app) packetStatus(ctx context.Context, command *cli.Command) error {
	nodes, err := queryPacketNodes(ctx, command)
	if err != nil {
		return err
	}
	return a.print(command, nodes, func(w io.Writer) { printPacketNodes(w, nodes) })
}

func printPacketNodes(w io.Writer, nodes []*packetNodeAnswer) {
	fmt.Fprintln(w, "VM\tROLE\tZONE\tSERVICE\tSTATE\tVERSION\tAGE MS\tOUT\tNODES")
	for _, node := range nodes {
		if node.Status == nil {
			fmt.Fprintf(w, "%s\t%s\n", node.Address.Addr(), node.Error)
			continue
		}
		s := node.Status
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%v\t%d\n",
			s.VM, s.Role, s.Zone, s.Service, s.State, s.Version, s.AgeMillis, s.ZonesOut, len(s.Nodes))
	}
}

func (a *app) packetWhy(ctx context.Context, command *cli.Command) error {
	if _, err := packetnode.ParseFlow(command.String("flow")); err != nil {
		return kernel.Usage(err)
	}
	nodes, err := queryPacketNodes(ctx, command)
	if err != nil {
		return err
	}
	queryAll(nodes, func(node *packetNodeAnswer) error {
		query := url.Values{packetnode.QueryFlow: {command.String("flow")}}
		return getJSON(ctx, node.Address, packetnode.PathExplain+"?"+query.Encode(), &node.Why)
	})
	return a.print(command, nodes, func(w io.Writer) {
		for _, node := range nodes {
			fmt.Fprintf(w, "%s %s\n  %s\n", node.Address.Addr(), node.Error, strings.Join(node.Why, "\n  "))
		}
	})
}

// queryPacketNodes asks one node for those that it knows, and then queries all of them.
func queryPacketNodes(ctx context.Context, command *cli.Command) ([]*packetNodeAnswer, error) {
	first, err := netip.ParseAddrPort(command.String("node"))
	if err != nil {
		return nil, kernel.Usage(Error.New("node: %v", err))
	}
	queried := &packetNodeAnswer{Address: first}
	if err := getJSON(ctx, first, packetnode.PathStatus, &queried.Status); err != nil {
		return nil, err
	}
	nodes := []*packetNodeAnswer{queried}
	for _, other := range queried.Status.Nodes {
		nodes = append(nodes, &packetNodeAnswer{Address: netip.AddrPortFrom(other.VM, first.Port())})
	}
	queryAll(nodes[1:], func(node *packetNodeAnswer) error {
		return getJSON(ctx, node.Address, packetnode.PathStatus, &node.Status)
	})
	return nodes, nil
}

// queryAll queries nodes concurrently and records their errors.
func queryAll(nodes []*packetNodeAnswer, query func(node *packetNodeAnswer) error) {
	slots := make(chan struct{}, maxPacketCalls)
	var running sync.WaitGroup
	for _, node := range nodes {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			if err := query(node); err != nil {
				node.Error = err.Error()
			}
		})
	}
	running.Wait()
}

func getJSON(ctx context.Context, address netip.AddrPort, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, packetCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s", address, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(result)
}
