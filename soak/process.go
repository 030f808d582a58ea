package soak

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/vm"
)

var namespace = errorx.NewNamespace("soak")

// ErrStart reports a part of the soak that did not start.
var ErrStart = namespace.NewType("start")

// VM is one gateway process and its link to the store.
type VM struct {
	ID      vm.ID
	Callers string
	store   *Link
	binary  string
	file    string
	log     *os.File

	mu sync.Mutex
	// process is the one that runs; nil while the VM is down.
	process *exec.Cmd
	// gone is closed when the process has ended.
	gone chan struct{}
	// incarnation counts the processes.
	incarnation int
	// disturbed holds the times in which the VM was not calm, stopping those of
	// its planned stops.
	disturbed, stopping spans
}

// addresses are where a VM listens.
type addresses struct{ callers, health, metrics, peers string }

// newVM prepares a VM; dir takes its settings and its log.
func newVM(id vm.ID, d domain.ID, binary, dir, store string, seeds []string, at addresses) (*VM, error) {
	link, err := NewLink(store)
	if err != nil {
		return nil, err
	}
	v := &VM{ID: id, Callers: at.callers, binary: binary, store: link, file: filepath.Join(dir, string(id)+".json")}
	s := settings.DefaultGateway()
	s.VM = settings.VM{ID: id, Domain: d, Region: domain.Region("region-" + string(d))}
	s.Regions = regions()
	s.Callers.Address, s.Health.Address, s.Metrics.Address, s.Peers.Address = at.callers, at.health, at.metrics, at.peers
	s.Hints, s.Seeds, s.Store.Address = "127.0.0.1:0", seeds, link.Address()
	var text bytes.Buffer
	if err := settings.Print(&text, s); err != nil {
		return nil, ErrStart.Wrap(err, "settings of %s", id)
	}
	if err := os.WriteFile(v.file, text.Bytes(), 0o600); err != nil {
		return nil, ErrStart.Wrap(err, "settings of %s", id)
	}
	v.log, err = os.OpenFile(filepath.Join(dir, string(id)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, ErrStart.Wrap(err, "log of %s", id)
	}
	return v, nil
}

// regions places each failure domain in a region of its own.
func regions() map[domain.ID]domain.Region {
	out := make(map[domain.ID]domain.Region)
	for _, d := range domains {
		out[d] = domain.Region("region-" + string(d))
	}
	return out
}

// ownHost returns a loopback address that belongs to this run alone, so that
// nobody else takes a port while its VM is down.
func ownHost() string {
	const firstNet, nets = 64, 128
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", firstNet+pid>>8%nets, pid&0xff)
}

// freeAddresses returns addresses for all VMs on which nothing listens. All are
// held until the last one is found, so that they differ.
func freeAddresses(vms int) ([]addresses, error) {
	out := make([]addresses, vms)
	for i := range out {
		for _, at := range []*string{&out[i].callers, &out[i].health, &out[i].metrics, &out[i].peers} {
			l, err := net.Listen("tcp", ownHost()+":0")
			if err != nil {
				return nil, ErrStart.Wrap(err, "free address")
			}
			defer func() { _ = l.Close() }()
			*at = l.Addr().String()
		}
	}
	return out, nil
}

// start runs the VM's process, if it is down.
func (v *VM) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		return nil
	}
	cmd := exec.Command(v.binary, "gateway", "--settings", v.file)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return ErrStart.Wrap(err, "process of %s", v.ID)
	}
	v.incarnation++
	gone := make(chan struct{})
	v.process, v.gone = cmd, gone
	go func() {
		// The exit status of a killed process is no error of the soak.
		_ = cmd.Wait()
		v.mu.Lock()
		if v.process == cmd {
			v.process = nil
		}
		v.mu.Unlock()
		close(gone)
	}()
	return nil
}

// signal sends a signal to the VM's own process, if one runs.
func (v *VM) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		// A process that has just ended can't be signalled.
		_ = v.process.Process.Signal(s)
	}
}

// ended waits for the end of the VM's process, for limit at most.
func (v *VM) ended(limit time.Duration) bool {
	v.mu.Lock()
	gone, running := v.gone, v.process != nil
	v.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-gone:
		return true
	case <-time.After(limit):
		return false
	}
}

func (v *VM) life() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprintf("%s/%d", v.ID, v.incarnation)
}

// close kills the process and closes what belongs to the VM.
func (v *VM) close() {
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	v.ended(time.Second)
	v.store.Close()
	_ = v.log.Close()
}
