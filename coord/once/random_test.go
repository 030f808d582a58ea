package once_test

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/coord/once"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

// input is one call by a VM. The output is the answer that the VM got.
type input struct {
	operation, vm, result string
}

// States of the model. A prefix is followed by a result or the name of a VM.
const (
	stateFree         = "free"
	stateRunning      = "running"
	stateUnknown      = "unknown"
	donePrefix        = "done "     // followed by the result
	unsentPrefix      = "unsent by" // followed by the VM, the only one that may claim the key again
	maybeUnsentPrefix = "ghost of"  // followed by the VM: free, or unsent after a delayed insert
)

// model is the row of one key. A call that returned an error may take effect at any
// later time, or never.
var model = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{stateFree} },
	Step: func(state, in, out any) []any {
		op := in.(input)
		switch op.operation {
		case "claim":
			return claimStates(state.(string), op.vm, out.(string))
		case "complete":
			return writeStates(state.(string), out.(string), donePrefix+op.result)
		case "mark":
			return writeStates(state.(string), out.(string), stateUnknown)
		default:
			return abandonStates(state.(string), op.vm, out.(string))
		}
	},
}).ToModel()

// claimStates returns the possible states after a Claim by vm, or nil if the answer is
// not possible in state.
func claimStates(state, vm, answer string) []any {
	switch {
	case answer == "error" && (state == stateFree || strings.HasPrefix(state, maybeUnsentPrefix)):
		return []any{state, unsentPrefix + vm}
	case answer == "error":
		return []any{state}
	case answer == "claimed" && (state == stateFree || state == unsentPrefix+vm ||
		strings.HasPrefix(state, maybeUnsentPrefix)):
		return []any{stateRunning}
	case answer == "open" && strings.HasPrefix(state, maybeUnsentPrefix):
		return []any{unsentPrefix + strings.TrimPrefix(state, maybeUnsentPrefix)}
	case answer == "open" && (state == stateRunning || state == stateUnknown || strings.HasPrefix(state, unsentPrefix)):
		return []any{state}
	case answer == state:
		return []any{state}
	}
	return nil
}

// writeStates returns the possible states after a Complete or MarkUnknown that writes
// next, or nil if the answer is not possible in state.
func writeStates(state, answer, next string) []any {
	open := state == stateRunning || state == stateUnknown
	switch {
	case answer == "error" && open:
		return []any{state, next}
	case answer == "error":
		return []any{state}
	case open || state == next && strings.HasPrefix(next, donePrefix): // repeated after an error
		return []any{next}
	}
	return nil
}

// abandonStates returns the possible states after an Abandon by vm.
func abandonStates(state, vm, answer string) []any {
	if state != stateRunning && state != stateUnknown {
		return []any{state}
	}
	if answer == "error" {
		return []any{maybeUnsentPrefix + vm, unsentPrefix + vm}
	}
	return []any{stateFree, maybeUnsentPrefix + vm}
}

// machine makes random calls for one key on several VMs, some of them during another
// call.
type machine struct {
	t           *rapid.T
	table       *memory.Table
	clock       *clockwork.FakeClock
	vms         []*vm
	operating   *vm // the VM during whose call another VM makes one
	logicalTime int64
	sentCount   int // how often the request was sent
	history     []porcupine.Operation
}

// vm is one VM with at most one open claim.
type vm struct {
	name        string
	claims      *once.Claims
	claim       *once.Claim
	requestSent bool // whether the request of claim was sent
}

func newMachine(t *rapid.T) *machine {
	m := &machine{t: t, table: memory.NewTable(), clock: clockwork.NewFakeClock()}
	for _, name := range []string{"a", "b", "c"} {
		v := &vm{name: name}
		m.vms = append(m.vms, v)
		m.restart(v)
	}
	return m
}

// restart replaces the Claims of the VM by one without state.
func (m *machine) restart(v *vm) {
	table := m.table.Client(func(context.Context, memory.Op, string) memory.Fault {
		m.interleave(v)
		return rapid.SampledFrom([]memory.Fault{
			memory.None, memory.None, memory.None, memory.None,
			memory.Down, memory.ReplyLost, memory.RequestLost, memory.Late, memory.Twice,
		}).Draw(m.t, "fault")
	})
	v.claim = nil
	v.claims, _ = once.New(table, "same name", once.Options{Clock: m.clock, StoreTimeout: time.Hour})
}

// interleave may run one step, of another VM or of time, during a call of v.
func (m *machine) interleave(v *vm) {
	if m.operating != nil || rapid.IntRange(0, 3).Draw(m.t, "interleave") > 0 {
		return
	}
	m.operating = v
	m.step()
	m.operating = nil
}

func (m *machine) step() {
	v := rapid.SampledFrom(m.vms).Draw(m.t, "vm")
	if v == m.operating {
		return
	}
	switch n := rapid.IntRange(0, 7).Draw(m.t, "step"); {
	case n == 0:
		m.restart(v)
	case n == 1:
		m.table.Deliver()
	case n == 2:
		m.clock.Advance(time.Minute)
	case v.claim == nil:
		m.record(v, input{"claim", v.name, ""}, m.claim)
	case n < 5:
		m.send(v)
		m.record(v, input{"complete", v.name, fmt.Sprint(m.sentCount)}, func(v *vm) string {
			return answerFor(v.claim.Complete(ctx, []byte(fmt.Sprint(m.sentCount))))
		})
	case n == 5:
		m.send(v)
		m.record(v, input{"mark", v.name, ""}, func(v *vm) string {
			return answerFor(v.claim.MarkUnknown(ctx))
		})
	case !v.requestSent:
		m.record(v, input{"abandon", v.name, ""}, func(v *vm) string {
			defer func() { v.claim = nil }()
			return answerFor(v.claim.Abandon(ctx))
		})
	}
}

// send sends the request unless v has sent it. It fails the test if the request was
// sent before.
func (m *machine) send(v *vm) {
	if v.requestSent {
		return
	}
	v.requestSent = true
	m.sentCount++
	if m.sentCount > 1 {
		m.t.Fatalf("the request was sent %d times", m.sentCount)
	}
}

func (m *machine) claim(v *vm) string {
	outcome, err := v.claims.Claim(ctx, key, fingerprint)
	if err != nil {
		return "error"
	}
	switch outcome.Status {
	case once.Claimed:
		v.claim, v.requestSent = outcome.Claim, false
		return "claimed"
	case once.Done:
		return donePrefix + string(outcome.Result)
	default:
		return "open"
	}
}

// answerFor returns the answer for the error of a write.
func answerFor(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}

func (m *machine) record(v *vm, in input, run func(*vm) string) {
	m.logicalTime++
	calledAt := m.logicalTime
	answer := run(v)
	m.logicalTime++
	returnedAt := m.logicalTime
	if answer == "error" {
		returnedAt = math.MaxInt64
	}
	m.history = append(m.history, porcupine.Operation{Input: in, Output: answer, Call: calledAt, Return: returnedAt})
}

var _ = Describe("Random histories", func() {
	It("are linearizable and send the request at most once", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newMachine(t)
			for range 30 {
				m.step()
			}
			if !porcupine.CheckOperations(model, m.history) {
				t.Fatalf("not linearizable: %+v", m.history)
			}
		})
	})
})
