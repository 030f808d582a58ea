package soak

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/vm"
)

var namespace = errorx.NewNamespace("soak")

// ErrStart reports that a part of the test environment could not be started.
var ErrStart = namespace.NewType("start")

// VM is an entry VM: a gateway process and its link to the store. It is safe for
// concurrent use.
type VM struct {
	ID vm.ID
	// Callers is the host:port for callers.
	Callers      string
	storeLink    *Link
	binary       string
	settingsFile string
	logFile      *os.File
	// control is the host:port at which the process takes changes of wayMode, its way to
	// upstreams; empty if it can't be cut off.
	control string
	wayMode atomic.Int32

	// stopMu is held during a planned stop. A second SIGTERM would end the grace period
	// of the first one.
	stopMu sync.Mutex
	mu     sync.Mutex // guards process, exited and incarnation
	// process is the running process; nil while the VM is down.
	process *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	// incarnation is the number of processes started so far.
	incarnation int
	// endedAt holds when processes ended, and unexpected the names of those that ended without a
	// signal that asks for it. signalled reports whether the running one got such a signal.
	endedAt    []time.Time
	unexpected []string
	// peaks holds the largest resident memory of processes by their names, in bytes, if it is watched.
	peaks     map[string]int64
	signalled bool
	// disturbances are the intervals in which the VM was killed, was paused or had a
	// faulty link to the store. stopPeriods are those of planned stops, until the restart.
	// cuts are those in which it was cut off from upstreams.
	disturbances, stopPeriods, cuts intervals
}

// addresses are the host:port pairs on which a VM listens.
type addresses struct{ callers, health, metrics, peers, control string }

// newVM writes the settings of a VM to dir and opens its log there. It does not start the
// process. change changes its settings. Errors: ErrStart.
func newVM(id vm.ID, d domain.ID, binary, dir, storeAddress string, change func(*settings.Gateway), seeds []string, addrs addresses) (*VM, error) {
	link, err := NewLink(storeAddress)
	if err != nil {
		return nil, err
	}
	v := &VM{ID: id, Callers: addrs.callers, binary: binary, storeLink: link, settingsFile: filepath.Join(dir, string(id)+".json")}
	gateway := settings.DefaultGateway()
	gateway.VM = settings.VM{ID: id, Domain: d, Region: domain.Region("region-" + string(d))}
	gateway.Regions = regions()
	gateway.Callers.Address, gateway.Health.Address, gateway.Metrics.Address, gateway.Peers.Address = addrs.callers, addrs.health, addrs.metrics, addrs.peers
	gateway.Hints, gateway.Seeds, gateway.Store.Address = "127.0.0.1:0", seeds, link.Address()
	change(gateway)
	var text bytes.Buffer
	if err := settings.Print(&text, gateway); err != nil {
		return nil, ErrStart.Wrap(err, "encode settings of %s", id)
	}
	if err := os.WriteFile(v.settingsFile, text.Bytes(), 0o600); err != nil {
		return nil, ErrStart.Wrap(err, "write settings of %s", id)
	}
	v.logFile, err = os.OpenFile(filepath.Join(dir, string(id)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, ErrStart.Wrap(err, "open log of %s", id)
	}
	return v, nil
}

// regions maps each failure domain to a separate region.
func regions() map[domain.ID]domain.Region {
	regionOf := make(map[domain.ID]domain.Region)
	for _, d := range domains {
		regionOf[d] = domain.Region("region-" + string(d))
	}
	return regionOf
}

// loopbackHost returns a loopback address that depends on the process ID, so that another
// process is unlikely to bind the port of a VM while that VM is down.
func loopbackHost() string {
	const firstNet, nets = 64, 128
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", firstNet+pid>>8%nets, pid&0xff)
}

// freeAddresses returns unused addresses for the given number of VMs. All of them stay
// bound until the last one is found, so that they differ.
func freeAddresses(vms int) ([]addresses, error) {
	free := make([]addresses, vms)
	for i := range free {
		for _, address := range []*string{&free[i].callers, &free[i].health, &free[i].metrics, &free[i].peers, &free[i].control} {
			listener, err := net.Listen("tcp", loopbackHost()+":0")
			if err != nil {
				return nil, ErrStart.Wrap(err, "find a free port")
			}
			defer func() { _ = listener.Close() }()
			*address = listener.Addr().String()
		}
	}
	return free, nil
}

// start starts the VM's process unless it is running. Errors: ErrStart.
func (v *VM) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		return nil
	}
	args := []string{"gateway", "--settings", v.settingsFile}
	if v.control != "" {
		args = append(args, "--control", v.control, "--way", strconv.Itoa(int(v.wayMode.Load())))
	}
	cmd := exec.Command(v.binary, args...)
	cmd.Stdout, cmd.Stderr = v.logFile, v.logFile
	if err := cmd.Start(); err != nil {
		return ErrStart.Wrap(err, "start process of %s", v.ID)
	}
	v.incarnation++
	exited := make(chan struct{})
	v.process, v.exited, v.signalled = cmd, exited, false
	name := fmt.Sprintf("%s/%d", v.ID, v.incarnation)
	go func() {
		// A killed process has an exit status that is not an error of the run.
		_ = cmd.Wait()
		v.mu.Lock()
		v.endedAt = append(v.endedAt, time.Now())
		if v.process == cmd {
			v.process = nil
			if !v.signalled {
				v.unexpected = append(v.unexpected, name)
			}
		}
		v.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the VM's process if it is running.
func (v *VM) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		v.signalled = v.signalled || s == syscall.SIGTERM || s == syscall.SIGKILL
		// The call fails if the process has just exited, which is not an error here.
		_ = v.process.Process.Signal(s)
	}
}

// awaitExit waits until the VM's process has exited and reports whether it did within the
// timeout.
func (v *VM) awaitExit(timeout time.Duration) bool {
	v.mu.Lock()
	exited, running := v.exited, v.process != nil
	v.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// processName returns a name that is unique to the VM's current process.
func (v *VM) processName() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprintf("%s/%d", v.ID, v.incarnation)
}

// endedWithin reports whether a process of the VM ended between two times.
func (v *VM) endedWithin(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.ContainsFunc(v.endedAt, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// unexpectedEnds returns the names of the processes that ended without a signal.
func (v *VM) unexpectedEnds() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.unexpected)
}

// close kills the process, closes the link to the store and closes the log. SIGCONT comes
// first, in case the process is paused.
func (v *VM) close() {
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	v.awaitExit(time.Second)
	v.storeLink.Close()
	_ = v.logFile.Close()
}
