// Package fleet runs the processes of a deployment on one machine, so that tests
// and experiments can stop, pause and restart them. It only signals processes that
// it started.
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

// Error is the class of all errors of this package.
var Error = errs.Class("fleet")

const (
	// stopTimeout bounds a graceful stop of all processes.
	stopTimeout = 30 * time.Second
	// startTimeout bounds the time until all processes are ready.
	startTimeout = 30 * time.Second
	// fetchTimeout bounds the request for the metrics of a process.
	fetchTimeout = 2 * time.Second
	// reservationPort is bound on the first address of a range of loopback addresses
	// while a Fleet uses the range.
	reservationPort = 6999
	// firstOctet and lastOctet are the bounds of the second octet of the loopback
	// addresses, both inclusive.
	firstOctet = 80
	lastOctet  = 250
)

// Fleet is a running deployment.
type Fleet struct {
	Layout deployment.Layout

	programFolder string
	// reservation keeps other Fleets from the range of loopback addresses.
	reservation net.Listener

	mu sync.Mutex
	// processes holds the process that was last started under each name.
	processes map[string]*process
}

// process is a process that was started. It may have exited.
type process struct {
	spec deployment.Process
	cmd  *exec.Cmd
	// done is closed when the process has exited and exitCode is set.
	done     chan struct{}
	exitCode int
}

// Start writes the settings of a deployment to folder, starts all its processes
// from the executables in programFolder, and waits until they are ready. It
// chooses loopback addresses that no other Fleet on the machine uses.
func Start(ctx context.Context, shape deployment.Shape, programFolder, folder string) (*Fleet, error) {
	reservation, octet, err := reserveAddresses()
	if err != nil {
		return nil, err
	}
	layout, err := deployment.Write(shape, deployment.AddressPlan{Octet: octet}, folder)
	if err != nil {
		reservation.Close()
		return nil, Error.Wrap(err)
	}
	f := &Fleet{Layout: layout, programFolder: programFolder, reservation: reservation, processes: map[string]*process{}}
	if err := f.startAll(ctx); err != nil {
		f.Kill()
		return nil, err
	}
	return f, nil
}

// startAll starts all processes, publishes the initial documents and waits until
// the processes are ready.
func (f *Fleet) startAll(ctx context.Context) error {
	for _, spec := range f.Layout.Processes {
		if err := f.StartProcess(spec.Name); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.Layout.PublishInitialDocuments(ctx); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(f.Layout.AwaitReady(ctx))
}

// reserveAddresses finds an unused range 127.octet.0.0/16 and reserves it until the
// listener is closed.
func reserveAddresses() (net.Listener, byte, error) {
	for octet := firstOctet; octet <= lastOctet; octet++ {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(octet), 0, 1}), reservationPort)
		listener, err := net.Listen("tcp", address.String())
		if err == nil {
			return listener, byte(octet), nil
		}
	}
	return nil, 0, Error.New("all ranges of loopback addresses are in use")
}

// StartProcess starts a process of the layout, which must not be running. Its
// output is appended to NAME.log in the folder of the deployment.
func (f *Fleet) StartProcess(name string) error {
	spec, found := f.spec(name)
	if !found {
		return Error.New("process %q is not in the layout", name)
	}
	log, err := os.OpenFile(filepath.Join(f.Layout.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.programFolder, spec.Program), spec.Args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return Error.Wrap(err)
	}
	started := &process{spec: spec, cmd: cmd, done: make(chan struct{})}
	go started.wait()
	f.mu.Lock()
	f.processes[name] = started
	f.mu.Unlock()
	return nil
}

func (p *process) wait() {
	p.cmd.Wait()
	p.exitCode = p.cmd.ProcessState.ExitCode()
	close(p.done)
}

// spec returns the layout's entry for a process.
func (f *Fleet) spec(name string) (deployment.Process, bool) {
	for _, spec := range f.Layout.Processes {
		if spec.Name == name {
			return spec, true
		}
	}
	return deployment.Process{}, false
}

// process returns the process that was last started under a name, or nil.
func (f *Fleet) process(name string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

// ChangeService rewrites the settings of an agent to those of another service at
// the same address. The agent must not be running.
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

// Signal sends a signal to a process of this Fleet. It fails when the process has
// exited.
func (f *Fleet) Signal(name string, signal syscall.Signal) error {
	p := f.process(name)
	if p == nil {
		return Error.New("process %q was not started", name)
	}
	return Error.Wrap(p.cmd.Process.Signal(signal))
}

// AwaitExit waits until a process has exited and returns its exit code, or -1 when
// a signal terminated it.
func (f *Fleet) AwaitExit(ctx context.Context, name string) (int, error) {
	p := f.process(name)
	if p == nil {
		return 0, Error.New("process %q was not started", name)
	}
	select {
	case <-p.done:
		return p.exitCode, nil
	case <-ctx.Done():
		return 0, Error.New("process %q: %v", name, ctx.Err())
	}
}

// Restart ends a process with a signal, starts it again and waits until it is
// ready.
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

// AwaitReady waits until /readyz of a process succeeds. It returns at once for a
// process without /readyz.
func (f *Fleet) AwaitReady(ctx context.Context, name string) error {
	spec, _ := f.spec(name)
	layout := deployment.Layout{Processes: []deployment.Process{spec}}
	return Error.Wrap(layout.AwaitReady(ctx))
}

// Stop terminates all processes gracefully: agents first, then balancers, then the
// stand-ins for the platform and the targets, which balsamdev runs. Its error names
// each process that did not exit with code 0.
func (f *Fleet) Stop() error {
	defer f.Kill()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return errs.Combine(f.StopNodes(), f.stopProgram(ctx, "balsamdev"))
}

// StopNodes terminates all agents and then all balancers gracefully. Its error is
// like that of Stop.
func (f *Fleet) StopNodes() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return errs.Combine(f.stopProgram(ctx, "balsamagent"), f.stopProgram(ctx, "balsamlb"))
}

// stopProgram terminates all processes of a program gracefully and waits until they
// have exited.
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
		// A paused process can't handle SIGTERM.
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

// Kill kills all processes, waits until they have exited and releases the loopback
// addresses.
func (f *Fleet) Kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.cmd.Process.Kill()
		<-p.done
	}
	f.reservation.Close()
}

// ProcessNames returns the names of the processes that begin with a prefix, in the
// order of the layout.
func (f *Fleet) ProcessNames(prefix string) []string {
	var names []string
	for _, spec := range f.Layout.Processes {
		if strings.HasPrefix(spec.Name, prefix) {
			names = append(names, spec.Name)
		}
	}
	return names
}

// ZoneProcesses returns the names of the processes of a program in an availability
// zone, in the order of the layout.
func (f *Fleet) ZoneProcesses(program, zone string) []string {
	var names []string
	for _, spec := range f.Layout.Processes {
		if spec.Program == program && string(spec.Zone) == zone {
			names = append(names, spec.Name)
		}
	}
	return names
}

// NodeCount returns the number of balancers and agents in the layout.
func (f *Fleet) NodeCount() int {
	nodes := 0
	for _, spec := range f.Layout.Processes {
		if spec.Program != "balsamdev" {
			nodes++
		}
	}
	return nodes
}

// PID returns the ID of the process that was last started under a name, or 0 when
// there is none.
func (f *Fleet) PID(name string) int {
	p := f.process(name)
	if p == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Metrics reads the counters and gauges of a process, without its histograms.
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
		return nil, Error.Wrap(errors.New("no metrics at /debug/vars of " + name))
	}
	values := map[string]int64{}
	for metric, value := range page.Metrics {
		if number, ok := value.(float64); ok {
			values[metric] = int64(number)
		}
	}
	return values, nil
}
