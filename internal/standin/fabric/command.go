package fabric

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

const (
	// checkInterval is the time between two rounds of health checks.
	checkInterval = 100 * time.Millisecond
	// checkTimeout bounds one health check of a balancer.
	checkTimeout = 200 * time.Millisecond
)

// Member is a balancer that the fabric health-checks.
type Member struct {
	// Fabric is the UDP address of the balancer's fabric plug-in, which receives the
	// datagrams.
	Fabric netip.AddrPort `json:"fabric"`
	// Ready is the TCP address of the balancer that serves /readyz.
	Ready netip.AddrPort `json:"ready"`
}

// Settings are the settings of the stand-in as a process.
type Settings struct {
	// Listen and Services are those of Config.
	Listen   netip.AddrPort   `json:"listen"`
	Services []netip.AddrPort `json:"services"`
	Members  []Member         `json:"members"`
	// DelayMS is Config.Delay in milliseconds.
	DelayMS float64 `json:"delay_ms"`
	// Admin is the TCP address of /readyz and /balancers.
	Admin netip.AddrPort `json:"operators"`
}

// Run runs the stand-in until the context ends. Members get datagrams only while
// their /readyz succeeds.
func Run(ctx context.Context, settings Settings, seed uint64, log *logrus.Entry) error {
	f, err := Start(Config{
		Listen:   settings.Listen,
		Services: settings.Services,
		Delay:    time.Duration(settings.DelayMS * float64(time.Millisecond)),
		Seed:     seed,
	})
	if err != nil {
		return err
	}
	defer f.Stop()
	listener, err := net.Listen("tcp", settings.Admin.String())
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{Handler: f.adminHandler(), ReadHeaderTimeout: checkTimeout}
	go server.Serve(listener)
	defer server.Close()
	log.WithField("listen", f.Addr()).Info("fabric_started")
	f.checkMembers(ctx, settings.Members, log)
	return nil
}

// adminHandler serves the stand-in's own readiness and the list of the balancers
// that get datagrams.
func (f *Fabric) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /balancers", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(*f.balancers.Load())
	})
	return mux
}

// checkMembers health-checks all members every checkInterval until the context
// ends, and sprays datagrams over those that are ready.
func (f *Fabric) checkMembers(ctx context.Context, members []Member, log *logrus.Entry) {
	client := &http.Client{Timeout: checkTimeout}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		before := len(*f.balancers.Load())
		f.SetBalancers(readyMembers(ctx, client, members))
		if after := len(*f.balancers.Load()); after != before {
			log.WithField("before", before).WithField("after", after).Info("members_changed")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readyMembers checks all members at the same time and returns the addresses for
// datagrams of those that are ready.
func readyMembers(ctx context.Context, client *http.Client, members []Member) []netip.AddrPort {
	ready := make([]bool, len(members))
	var checks sync.WaitGroup
	for i, member := range members {
		checks.Go(func() { ready[i] = isReady(ctx, client, member) })
	}
	checks.Wait()
	var addresses []netip.AddrPort
	for i, member := range members {
		if ready[i] {
			addresses = append(addresses, member.Fabric)
		}
	}
	return addresses
}

func isReady(ctx context.Context, client *http.Client, member Member) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+member.Ready.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Command returns the command "fabric" of balsamdev.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "fabric",
		Usage: "run the stand-in fabric until it is stopped",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "JSON `FILE` with the stand-in's settings", Required: true},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random choice of balancers", Value: 1},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			settings, err := loadSettings(command.String("settings"))
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return Run(ctx, settings, command.Uint64("seed"), logrus.NewEntry(logrus.StandardLogger()))
		},
	}
}

func loadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	var settings Settings
	if err := json.Unmarshal(text, &settings); err != nil {
		return Settings{}, Error.New("%s: %v", path, err)
	}
	return settings, nil
}
