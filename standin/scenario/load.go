package scenario

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/poplarshore/poplarshore/standin/caller"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/environment"
)

// load is a set of callers that ask without pause, one after the other, of the
// VMs that are ready, as behind a balancer.
type load struct {
	stop    context.CancelFunc
	wg      sync.WaitGroup
	whole   atomic.Int64
	refused atomic.Int64
	broken  atomic.Int64
	mu      sync.Mutex
	reasons map[string]int
}

// load NAME MODEL CALLERS begins a load of streamed requests.
func startLoad(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 3, "load NAME MODEL CALLERS")
	s := of(ts)
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{stop: cancel, reasons: make(map[string]int)}
	s.loads[args[0]] = l
	env := s.environment(ts)
	for i := range number(ts, args[2]) {
		l.wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				l.ask(s, env, args[1], fmt.Sprintf("load %s %d %d", args[0], i, n), i+n)
			}
		})
	}
}

// ask sends one request to one of the ready VMs.
func (l *load) ask(s *state, env *environment.Environment, name, prompt string, turn int) {
	d, arrived := env.Assign(turn)
	if d == nil {
		return
	}
	once := sync.OnceFunc(arrived)
	defer once()
	c := &caller.Caller{Address: d.CallersAddress(), Key: s.keys, Client: s.client, OnPiece: func(int) { once() }}
	a, err := c.Chat(context.Background(), caller.Ask(name, prompt, true), nil)
	switch {
	case err != nil:
		l.note(&l.broken, "send")
	case a.Reason != "":
		l.note(&l.refused, a.Reason)
	case !a.Whole:
		l.note(&l.broken, "cut")
	case !own(env, a, name, prompt):
		l.note(&l.broken, "not the caller's answer")
	default:
		l.whole.Add(1)
	}
}

// own tells whether an answer is that of the model to the prompt. One that came
// through the older router does not name its model and is of the current version.
func own(env *environment.Environment, a caller.Answer, asked, prompt string) bool {
	name, version := a.Header.Get("Poplarshore-Model"), a.Header.Get("Poplarshore-Version")
	if name == "" {
		name, version = asked, env.Current(asked)
	}
	return engine.IsAnswer(a.Text, name, version, prompt, minTokens, maxTokens, 0)
}

func (l *load) note(counter *atomic.Int64, reason string) {
	counter.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reasons[reason]++
}

func (l *load) end() {
	l.stop()
	l.wg.Wait()
}

// endload NAME [-refusals] ends a load and checks that every answer was whole
// and the caller's own; with -refusals some may have been refused.
func endLoad(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	args, flags := split(ts, args, "refusals")
	need(ts, args, 1, "endload NAME [-refusals]")
	l := of(ts).loads[args[0]]
	if l == nil {
		ts.Fatalf("there is no load %q", args[0])
	}
	l.end()
	ts.Logf("%d whole, %d refused, %d broken: %v", l.whole.Load(), l.refused.Load(), l.broken.Load(), l.reasons)
	if l.broken.Load() > 0 || l.whole.Load() == 0 || (l.refused.Load() > 0 && flags["refusals"] == "") {
		ts.Fatalf("%d whole, %d refused, %d broken: %v", l.whole.Load(), l.refused.Load(), l.broken.Load(), l.reasons)
	}
}
