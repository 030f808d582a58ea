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

// load is a set of concurrent callers. Each sends one streamed request after another without pause to
// the ready VMs, which it selects in turn as a balancer does.
type load struct {
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	complete atomic.Int64
	refused  atomic.Int64
	failed   atomic.Int64
	mu       sync.Mutex
	// reasons counts the refused and failed requests by reason; mu guards it.
	reasons map[string]int
}

// startLoad implements the command
//
//	load NAME MODEL CALLERS
//
// It starts a load of streamed requests from CALLERS concurrent callers.
func startLoad(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 3, "load NAME MODEL CALLERS")
	s := stateOf(ts)
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel, reasons: make(map[string]int)}
	s.loads[args[0]] = l
	env := s.environment(ts)
	for i := range parseNumber(ts, args[2]) {
		l.wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				l.sendRequest(s, env, args[1], fmt.Sprintf("load %s %d %d", args[0], i, n), i+n)
			}
		})
	}
}

// sendRequest sends one request to a ready VM and counts the result. It does nothing if no VM is ready.
func (l *load) sendRequest(s *state, env *environment.Environment, modelName, prompt string, turn int) {
	daemon, arrived := env.SelectVM(turn)
	if daemon == nil {
		return
	}
	markArrived := sync.OnceFunc(arrived)
	defer markArrived()
	c := &caller.Caller{Address: daemon.CallersAddress(), Key: s.callerKey, Client: s.client, OnPiece: func(int) { markArrived() }}
	answer, err := c.Chat(context.Background(), caller.NewRequest(modelName, prompt, true), nil)
	switch {
	case err != nil:
		l.count(&l.failed, "send")
	case answer.Reason != "":
		l.count(&l.refused, answer.Reason)
	case !answer.Complete:
		l.count(&l.failed, "cut")
	case !isExpectedAnswer(env, answer, modelName, prompt):
		l.count(&l.failed, "unexpected text")
	default:
		l.complete.Add(1)
	}
}

// isExpectedAnswer reports whether the text of an answer is the one that the model version gives to
// the prompt. An answer that came through the older router has no model headers and is checked as one
// of the requested model's current version.
func isExpectedAnswer(env *environment.Environment, answer caller.Answer, requestedModel, prompt string) bool {
	name, version := answer.Header.Get("Poplarshore-Model"), answer.Header.Get("Poplarshore-Version")
	if name == "" {
		name, version = requestedModel, env.CurrentVersion(requestedModel)
	}
	return engine.IsAnswer(answer.Text, name, version, prompt, minTokens, maxTokens, 0)
}

// count adds a request to the counter and its reason to the summary that endload prints.
func (l *load) count(counter *atomic.Int64, reason string) {
	counter.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reasons[reason]++
}

// stop stops sending and waits for the requests in flight.
func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

// endLoad implements the command
//
//	endload NAME [-refusals]
//
// It stops a load and checks that at least one answer was received and that each was complete and had
// the expected text. Refusals are a failure too, except with -refusals.
func endLoad(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	args, flags := parseFlags(ts, args, "refusals")
	requireArgs(ts, args, 1, "endload NAME [-refusals]")
	l := stateOf(ts).loads[args[0]]
	if l == nil {
		ts.Fatalf("load %q does not exist", args[0])
	}
	l.stop()
	ts.Logf("%d complete, %d refused, %d failed: %v", l.complete.Load(), l.refused.Load(), l.failed.Load(), l.reasons)
	if l.failed.Load() > 0 || l.complete.Load() == 0 || (l.refused.Load() > 0 && flags["refusals"] == "") {
		ts.Fatalf("%d complete, %d refused, %d failed: %v", l.complete.Load(), l.refused.Load(), l.failed.Load(), l.reasons)
	}
}
