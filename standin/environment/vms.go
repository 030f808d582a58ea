package environment

import (
	"context"
	"maps"
	"slices"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/internal/entryd"
	"github.com/poplarshore/poplarshore/platform"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/vm"
)

// VM configures an entry VM, or the VM on which a control process runs.
type VM struct {
	ID vm.ID
	// Domain is the failure domain, one that the document declares.
	Domain string
	// Region is the region in the platform's list of VMs. The VM's own settings take theirs from the document.
	Region string
	// CallersAddress and OperatorsAddress are the listeners' host:port. Empty means a free port on 127.0.0.1.
	CallersAddress   string
	OperatorsAddress string
	// ConfigureSettings, if set, modifies the entry's settings before the start. Nil keeps the defaults.
	ConfigureSettings func(*settings.Entry)
}

// StartVM starts an entry VM, adds it to the platform's list of VMs and waits until it is ready.
func (e *Environment) StartVM(v VM) (*entryd.Daemon, error) {
	d, err := entryd.New(e.entrySettings(v), e.opts.Log, clockwork.NewRealClock())
	if err != nil {
		return nil, err
	}
	if err := d.Start(e.ctx); err != nil {
		return nil, err
	}
	e.addVM(v.ID, d)
	e.Platform.SetMember(platform.Member{
		ID: string(v.ID), Address: d.PeersAddress(), Region: v.Region, Domain: v.Domain, State: platform.MemberLive,
	})
	return d, d.AwaitReady(e.ctx)
}

// entrySettings returns the settings of an entry VM: the defaults with the environment's addresses and secrets,
// short periods, and the changes that v.ConfigureSettings makes.
func (e *Environment) entrySettings(v VM) *settings.Entry {
	s := settings.DefaultEntry()
	s.VM = settings.VM{ID: v.ID}
	for _, d := range e.doc.Domains {
		if string(d.ID) == v.Domain {
			s.VM.Domain, s.VM.Region = d.ID, d.Region
		}
	}
	s.Callers.Address, s.Operators.Address, s.Peers.Address = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	if v.CallersAddress != "" {
		s.Callers.Address = v.CallersAddress
	}
	if v.OperatorsAddress != "" {
		s.Operators.Address = v.OperatorsAddress
	}
	url := e.Platform.URL()
	s.Platform.Table, s.Platform.Objects, s.Platform.VMList, s.Platform.Rater = url, url, url, url
	s.Upstreams = e.Addresses
	s.PeerTokenFile, s.OperatorTokenFile = e.SecretFile("peer"), e.SecretFile("operator")
	s.SessionKeyFiles = make(map[string]string)
	for _, name := range e.doc.Session.Keys {
		s.SessionKeyFiles[name] = e.SecretFile("session")
	}
	s.Stop.BalancerGraceMS = balancerGraceMS
	s.Timeouts.VMListPeriodMS = vmListPeriodMS
	if v.ConfigureSettings != nil {
		v.ConfigureSettings(s)
	}
	return s
}

// balancerGraceMS is the maximum time for the balancer to notice a planned stop, in ms. StopVM ends the grace
// period as soon as no request is in transit to the VM.
const balancerGraceMS = 60_000

// vmListPeriodMS is the time between a VM's reads of the list of VMs, in ms.
const vmListPeriodMS = 100

// VM returns the running entry VM with the id, or nil.
func (e *Environment) VM(id vm.ID) *entryd.Daemon {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.vms[id]
}

// FirstVM returns the smallest id of the running entry VMs, or an empty id if there are none.
func (e *Environment) FirstVM() vm.ID {
	ids := e.runningVMs()
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

// SelectVM selects an entry VM for a request, as the platform's balancer does: the first ready one in the order of
// ids, from offset (modulo their number). The caller must call arrived once, when the VM has started to answer or
// the request has failed; a planned stop waits for it. If none is ready, d is nil and arrived has no effect.
func (e *Environment) SelectVM(offset int) (d *entryd.Daemon, arrived func()) {
	ids := e.runningVMs()
	for i := range ids {
		id := ids[(offset+i)%len(ids)]
		arrived := e.balancer.beginRequest(id)
		if d := e.VM(id); d != nil && d.IsReady() {
			return d, arrived
		}
		arrived()
	}
	return nil, func() {}
}

// runningVMs returns the ids of the running entry VMs in ascending order.
func (e *Environment) runningVMs() []vm.ID {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return slices.Sorted(maps.Keys(e.vms))
}

func (e *Environment) addVM(id vm.ID, d *entryd.Daemon) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.vms[id] = d
}

// removeVM removes an entry VM from the running ones and returns it. It doesn't stop it.
func (e *Environment) removeVM(id vm.ID) *entryd.Daemon {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.vms[id]
	delete(e.vms, id)
	return d
}

// StopVM stops an entry VM gracefully, removes it from the platform's list of VMs and returns the number of
// requests that the stop interrupted. The VM must be running.
func (e *Environment) StopVM(id vm.ID) int {
	d := e.VM(id)
	d.BeginStop()
	interrupted := d.Stop(context.Background(), e.balancer.drained(id))
	e.removeVM(id)
	e.Platform.RemoveMember(string(id))
	return interrupted
}

// KillVM ends an entry VM at once, like the loss of its machine. The VM stays in the platform's list of VMs. The
// VM must be running.
func (e *Environment) KillVM(id vm.ID) {
	e.removeVM(id).Kill()
}
