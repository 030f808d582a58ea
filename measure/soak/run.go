package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/measure/caller"
	"github.com/poplarshore/poplarshore/measure/load"
	"github.com/poplarshore/poplarshore/measure/site"
	"github.com/poplarshore/poplarshore/standin/environment"
)

// requestRecord is one request and its response.
type requestRecord struct {
	// prompt is unique to the request. For a service call it is the body.
	prompt      string
	serviceCall bool
	// complete is set if the response was complete and no refusal.
	complete bool
	// ran is the refusal's statement of whether the request was run.
	ran      string
	response caller.Response
	// pinnedVersion is the version that the request's session is pinned to. It is
	// empty outside a session and for the request that starts one.
	pinnedVersion string
}

// run is the state of one soak.
type run struct {
	options Options
	env     *environment.Environment

	mu      sync.Mutex // guards report, records, clients, live and sessions
	report  Report
	records []requestRecord
	// clients and live are indexed by the number of the entry VM.
	clients []*caller.Client
	live    []bool
	// disruptions waits for restarts and changes of the version, which
	// disruptionMu serializes.
	disruptions  sync.WaitGroup
	disruptionMu sync.Mutex
	sessions     [sessionSlots]session
}

func newRun(o Options, env *environment.Environment) *run {
	r := &run{options: o, env: env, clients: make([]*caller.Client, o.VMs), live: make([]bool, o.VMs)}
	r.report.Refusals = make(map[string]int)
	r.report.Violations = []string{}
	for i := range o.VMs {
		r.clients[i] = caller.New("http://"+env.VM(site.VMID(i)).CallersAddress(), site.Key)
		r.live[i] = true
	}
	return r
}

func (r *run) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.clients {
		c.Close()
	}
}

// request sends the i-th request and records it. Before that it injects a fault,
// and starts a VM's restart or a change of the current version, if one is due.
func (r *run) request(ctx context.Context, i int) load.Outcome {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(i)))
	if r.options.FaultEvery > 0 && i%r.options.FaultEvery == 0 {
		r.injectFault(random)
	}
	if r.options.RestartEvery > 0 && i > 0 && i%r.options.RestartEvery == 0 {
		r.disruptions.Go(func() { r.restart(i / r.options.RestartEvery) })
	}
	if r.options.SwitchEvery > 0 && i > 0 && i%r.options.SwitchEvery == 0 {
		r.disruptions.Go(func() { r.switchVersion(i / r.options.SwitchEvery) })
	}
	record := requestRecord{prompt: fmt.Sprintf("request %d of %d", i, r.options.Seed)}
	err := r.send(ctx, random, &record)
	record.ran = record.response.Ran
	record.complete = err == nil
	outcome := r.outcome(record, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, record)
	return outcome
}

// send sends a request of a random type to a random live VM: a service call, a
// streamed completion, a completion in a session, or a plain completion.
func (r *run) send(ctx context.Context, random *rand.Rand, record *requestRecord) error {
	client := r.selectClient(random)
	var err error
	switch random.IntN(5) {
	case 0:
		record.serviceCall = true
		key := http.Header{"Idempotency-Key": {record.prompt}}
		record.response, err = client.CallService(ctx, http.MethodPost, site.IssuePath, key, record.prompt)
	case 1, 2:
		record.response, err = client.Complete(ctx, caller.Request{Model: site.Model, Prompt: record.prompt, Stream: true})
	case 3:
		err = r.sendInSession(ctx, client, random.IntN(sessionSlots), record)
	default:
		record.response, err = client.Complete(ctx, caller.Request{Model: site.Model, Prompt: record.prompt})
	}
	return err
}

// selectClient returns the client of a live VM, as a load balancer would choose
// it. If no VM is live, it returns that of any VM.
func (r *run) selectClient(random *rand.Rand) *caller.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := random.IntN(len(r.clients))
	for k := range r.clients {
		if i := (first + k) % len(r.clients); r.live[i] {
			return r.clients[i]
		}
	}
	return r.clients[first]
}

// outcome classifies a response and counts refusals by code and ran.
func (r *run) outcome(record requestRecord, err error) load.Outcome {
	switch {
	case err == nil:
		return load.Complete
	case errorx.IsOfType(err, caller.ErrRefused):
		r.mu.Lock()
		defer r.mu.Unlock()
		r.report.Refusals[record.response.Code+"/"+record.response.Ran]++
		return refused
	default:
		return failed
	}
}

// restart restarts one entry VM, after a kill if sequence is even and after a
// planned stop otherwise. Restarts are serialized, so that the other VMs stay
// live.
func (r *run) restart(sequence int) {
	r.disruptionMu.Lock()
	defer r.disruptionMu.Unlock()
	i := sequence % r.options.VMs
	kill := sequence%2 == 0
	if !kill {
		r.setLive(i, false)
	}
	if kill {
		r.env.KillVM(site.VMID(i))
		r.setLive(i, false)
	} else if n := r.env.StopVM(site.VMID(i)); n > 0 {
		r.recordViolation("planned stop of an entry VM aborted %d requests", n)
	}
	started, err := r.env.StartVM(site.EntryVM(i, shortTimeouts))
	if err != nil {
		r.recordViolation("could not restart an entry VM: %v", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clients[i].Close()
	r.clients[i] = caller.New("http://"+started.CallersAddress(), site.Key)
	r.live[i] = true
	if kill {
		r.report.Kills++
	} else {
		r.report.Stops++
	}
}

func (r *run) setLive(i int, live bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.live[i] = live
}

func (r *run) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}
