// Package fleet runs the processes of a deployment on one machine and lets tests
// and experiments kill, freeze and replace them. It ends only processes that it
// started.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/devcerts"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/settings"
	"github.com/balsamlink/balsamlink/internal/standin/deployment"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("fleet")

const (
	stopTimeout  = 30 * time.Second
	startTimeout = 30 * time.Second
	fetchTimeout = 2 * time.Second
	// lockPort is bound while a net of loopback addresses is in use.
	lockPort   = 6999
	firstOctet = 80
	lastOctet  = 250
)

// Fleet is a running deployment.
type Fleet struct {
	Layout deployment.Layout

	programs string
	lock     net.Listener

	mu        sync.Mutex
	processes map[string]*process
}

type process struct {
	spec  deployment.Process
	cmd   *exec.Cmd
	ended chan struct{}
	code  int
}

// Start lays out a deployment in a folder and starts all its processes from the
// folder of programs. The loopback addresses are ones that no other Fleet uses.
func Start(ctx context.Context, shape deployment.Shape, programs, folder string) (*Fleet, error) {
	lock, octet, err := lockNet()
	if err != nil {
		return nil, err
	}
	layout, err := deployment.Write(shape, deployment.AddressPlan{Octet: octet}, folder)
	if err != nil {
		lock.Close()
		return nil, Error.Wrap(err)
	}
	f := &Fleet{Layout: layout, programs: programs, lock: lock, processes: map[string]*process{}}
	if err := f.startAll(ctx); err != nil {
		f.Kill()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll(ctx context.Context) error {
	for _, spec := range f.Layout.Processes {
		if err := f.StartProcess(spec.Name); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.Layout.Prepare(ctx); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(f.Layout.AwaitReady(ctx))
}

// lockNet finds loopback addresses that nobody uses and holds them.
func lockNet() (net.Listener, byte, error) {
	for octet := firstOctet; octet <= lastOctet; octet++ {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(octet), 0, 1}), lockPort)
		lock, err := net.Listen("tcp", address.String())
		if err == nil {
			return lock, byte(octet), nil
		}
	}
	return nil, 0, Error.New("no loopback addresses are free")
}

// StartProcess starts a process of the layout that is not running.
func (f *Fleet) StartProcess(name string) error {
	spec, known := f.spec(name)
	if !known {
		return Error.New("process %q is not in the layout", name)
	}
	log, err := os.OpenFile(filepath.Join(f.Layout.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.programs, spec.Program), spec.Args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return Error.Wrap(err)
	}
	started := &process{spec: spec, cmd: cmd, ended: make(chan struct{})}
	go started.wait()
	f.mu.Lock()
	f.processes[name] = started
	f.mu.Unlock()
	return nil
}

func (p *process) wait() {
	p.cmd.Wait()
	p.code = p.cmd.ProcessState.ExitCode()
	close(p.ended)
}

func (f *Fleet) spec(name string) (deployment.Process, bool) {
	for _, spec := range f.Layout.Processes {
		if spec.Name == name {
			return spec, true
		}
	}
	return deployment.Process{}, false
}

func (f *Fleet) process(name string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

// ChangeService makes the agent of a process that is not running one of another
// service at the same address.
func (f *Fleet) ChangeService(name string, service model.Service) error {
	path := filepath.Join(f.Layout.Folder, name+".json")
	text, err := os.ReadFile(path)
	if err != nil {
		return Error.Wrap(err)
	}
	var agent settings.Agent
	if err := json.Unmarshal(text, &agent); err != nil {
		return Error.Wrap(err)
	}
	agent.Service = service
	agent.Certificate, agent.Key = devcerts.ServiceFiles(f.Layout.Folder, string(service))
	text, err = json.Marshal(agent)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(path, text, 0o600))
}

// Signal sends a signal to a process that this Fleet started.
func (f *Fleet) Signal(name string, signal syscall.Signal) error {
	p := f.process(name)
	if p == nil {
		return Error.New("process %q is not running", name)
	}
	return Error.Wrap(p.cmd.Process.Signal(signal))
}

// AwaitExit waits for a process to end and returns its exit code, -1 when a signal
// ended it.
func (f *Fleet) AwaitExit(ctx context.Context, name string) (int, error) {
	p := f.process(name)
	if p == nil {
		return 0, Error.New("process %q is not running", name)
	}
	select {
	case <-p.ended:
		return p.code, nil
	case <-ctx.Done():
		return 0, Error.New("process %q: %v", name, ctx.Err())
	}
}

// Restart stops a process with a signal and starts it anew.
func (f *Fleet) Restart(ctx context.Context, name string, signal syscall.Signal) error {
	if err := f.Signal(name, signal); err != nil {
		return err
	}
	if _, err := f.AwaitExit(ctx, name); err != nil {
		return err
	}
	if err := f.StartProcess(name); err != nil {
		return err
	}
	return f.AwaitReady(ctx, name)
}

// AwaitReady waits until a process is ready.
func (f *Fleet) AwaitReady(ctx context.Context, name string) error {
	spec, _ := f.spec(name)
	layout := deployment.Layout{Processes: []deployment.Process{spec}}
	return Error.Wrap(layout.AwaitReady(ctx))
}

// Stop ends all processes gracefully, agents first, and returns an error that
// names each one that did not end with exit code 0.
func (f *Fleet) Stop() error {
	defer f.Kill()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return errs.Combine(f.StopNodes(), f.stopProgram(ctx, "balsamdev"))
}

// StopNodes ends all agents and then all balancers gracefully.
func (f *Fleet) StopNodes() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return errs.Combine(f.stopProgram(ctx, "balsamagent"), f.stopProgram(ctx, "balsamlb"))
}

func (f *Fleet) stopProgram(ctx context.Context, program string) error {
	var names []string
	f.mu.Lock()
	for name, p := range f.processes {
		if p.spec.Program == program {
			names = append(names, name)
		}
	}
	f.mu.Unlock()
	for _, name := range names {
		f.Signal(name, syscall.SIGCONT)
		f.Signal(name, syscall.SIGTERM)
	}
	var failed errs.Group
	for _, name := range names {
		code, err := f.AwaitExit(ctx, name)
		if err == nil && code != 0 {
			err = Error.New("%s ended with exit code %d", name, code)
		}
		failed.Add(err)
	}
	return failed.Err()
}

// Kill ends all processes at once and gives the addresses free.
func (f *Fleet) Kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.cmd.Process.Kill()
		<-p.ended
	}
	f.lock.Close()
}

// ProcessNames returns the processes whose names begin with a prefix, in order.
func (f *Fleet) ProcessNames(prefix string) []string {
	var names []string
	for _, spec := range f.Layout.Processes {
		if strings.HasPrefix(spec.Name, prefix) {
			names = append(names, spec.Name)
		}
	}
	return names
}

// ZoneProcesses returns the processes of a program in an availability zone, in order.
func (f *Fleet) ZoneProcesses(program, zone string) []string {
	var names []string
	for _, spec := range f.Layout.Processes {
		if spec.Program == program && string(spec.Zone) == zone {
			names = append(names, spec.Name)
		}
	}
	return names
}

// NodeCount returns the number of balancers and agents.
func (f *Fleet) NodeCount() int {
	nodes := 0
	for _, spec := range f.Layout.Processes {
		if spec.Program != "balsamdev" {
			nodes++
		}
	}
	return nodes
}

// PID returns the process number, 0 when it is not running.
func (f *Fleet) PID(name string) int {
	p := f.process(name)
	if p == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Metrics reads the counters and gauges of a process; histograms are left out.
func (f *Fleet) Metrics(name string) (map[string]int64, error) {
	spec, _ := f.spec(name)
	client := &http.Client{Timeout: fetchTimeout}
	response, err := client.Get("http://" + spec.Ready.String() + "/debug/vars")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer response.Body.Close()
	var page struct {
		Metrics map[string]any `json:"balsamlink"`
	}
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
		return nil, Error.Wrap(err)
	}
	if page.Metrics == nil {
		return nil, Error.Wrap(errors.New("no counters on the page of " + name))
	}
	counters := map[string]int64{}
	for metric, value := range page.Metrics {
		if number, ok := value.(float64); ok {
			counters[metric] = int64(number)
		}
	}
	return counters, nil
}
