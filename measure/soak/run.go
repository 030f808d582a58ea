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

// told is what a caller was told of one request.
type told struct {
	prompt string
	call   bool
	whole  bool
	ran    string
	answer caller.Answer
	// pinned is the version of the session that the request is in, if any.
	pinned string
}

// run is the state of one soak.
type run struct {
	options Options
	env     *environment.Environment

	mu       sync.Mutex
	report   Report
	told     []told
	callers  []*caller.Caller
	live     []bool
	restarts sync.WaitGroup
	turn     sync.Mutex
	sessions [sessionCount]session
}

func newRun(o Options, env *environment.Environment) *run {
	r := &run{options: o, env: env, callers: make([]*caller.Caller, o.VMs), live: make([]bool, o.VMs)}
	r.report.Refusals = make(map[string]int)
	r.report.Violations = []string{}
	for i := range o.VMs {
		r.callers[i] = caller.New("http://"+env.VM(site.VM(i)).CallersAddress(), site.Key)
		r.live[i] = true
	}
	return r
}

func (r *run) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.callers {
		c.Close()
	}
}

// request sends the i-th request and, where one is due, strikes the next fault
// or restarts the next VM.
func (r *run) request(ctx context.Context, i int) load.Outcome {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(i)))
	if r.options.FaultEvery > 0 && i%r.options.FaultEvery == 0 {
		r.strike(random)
	}
	if r.options.RestartEvery > 0 && i > 0 && i%r.options.RestartEvery == 0 {
		r.restarts.Go(func() { r.restart(i / r.options.RestartEvery) })
	}
	if r.options.FlipEvery > 0 && i > 0 && i%r.options.FlipEvery == 0 {
		r.restarts.Go(func() { r.flip(i / r.options.FlipEvery) })
	}
	t := told{prompt: fmt.Sprintf("request %d of %d", i, r.options.Seed)}
	err := r.send(ctx, random, &t)
	t.ran = t.answer.Ran
	t.whole = err == nil
	outcome := r.outcome(t, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, t)
	return outcome
}

func (r *run) send(ctx context.Context, random *rand.Rand, t *told) error {
	c := r.pick(random)
	var err error
	switch random.IntN(5) {
	case 0:
		t.call = true
		key := http.Header{"Idempotency-Key": {t.prompt}}
		t.answer, err = c.Call(ctx, http.MethodPost, site.Issue, key, t.prompt)
	case 1, 2:
		t.answer, err = c.Ask(ctx, caller.Question{Model: site.Model, Prompt: t.prompt, Stream: true})
	case 3:
		err = r.sendInSession(ctx, c, random.IntN(sessionCount), t)
	default:
		t.answer, err = c.Ask(ctx, caller.Question{Model: site.Model, Prompt: t.prompt})
	}
	return err
}

// pick chooses a live VM as a balancer does.
func (r *run) pick(random *rand.Rand) *caller.Caller {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := random.IntN(len(r.callers))
	for k := range r.callers {
		if i := (first + k) % len(r.callers); r.live[i] {
			return r.callers[i]
		}
	}
	return r.callers[first]
}

func (r *run) outcome(t told, err error) load.Outcome {
	switch {
	case err == nil:
		return load.Whole
	case errorx.IsOfType(err, caller.ErrRefused):
		r.mu.Lock()
		defer r.mu.Unlock()
		r.report.Refusals[t.answer.Code+"/"+t.answer.Ran]++
		return refused
	default:
		return cut
	}
}

// restart stops or kills one entry VM and starts it anew. Restarts follow one
// another, so that the others stay live.
func (r *run) restart(number int) {
	r.turn.Lock()
	defer r.turn.Unlock()
	i := number % r.options.VMs
	kill := number%2 == 0
	if !kill {
		r.setLive(i, false)
	}
	if kill {
		r.env.KillVM(site.VM(i))
		r.setLive(i, false)
	} else if n := r.env.StopVM(site.VM(i)); n > 0 {
		r.violate("a planned stop cut off %d requests", n)
	}
	d, err := r.env.StartVM(site.EntryVM(i, quick))
	if err != nil {
		r.violate("restart: %v", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callers[i].Close()
	r.callers[i] = caller.New("http://"+d.CallersAddress(), site.Key)
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

func (r *run) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}
