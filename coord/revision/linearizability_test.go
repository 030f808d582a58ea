package revision_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/anishathalye/porcupine"
	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

// proposalOutcome is the outcome of one proposal in a recorded history.
type proposalOutcome int

const (
	outcomeAccepted proposalOutcome = iota
	outcomeConflict
	outcomeUnknown
)

// headModel models the head as a counter, which a proposal increments if and only
// if the head equals the proposal's base.
var headModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		head, base := state.(uint64), input.(uint64)
		switch output.(proposalOutcome) {
		case outcomeAccepted:
			return head == base, head + 1
		case outcomeConflict:
			return head != base, head
		default: // unknown: applied at some time or never; a write that was not applied leaves the head unchanged
			if head == base {
				return true, head + 1
			}
			return true, head
		}
	},
}

var _ = Describe("Concurrent proposals by several operators", func() {
	It("are linearizable if requests and replies are lost and the store fails", func() {
		for seed := range uint64(8) {
			table, objects := memory.NewTable(), memory.NewObjects()
			table.Faults = randomFaults(seed)
			history := runConcurrentProposals(table, objects)
			Expect(porcupine.CheckOperations(headModel, history)).To(BeTrue(), "seed %d", seed)
		}
	})
})

// randomFaults injects a fault into about a third of the operations.
func randomFaults(seed uint64) memory.Injector {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 3))
	return func(context.Context, memory.Op, string) memory.Fault {
		mu.Lock()
		defer mu.Unlock()
		return []memory.Fault{0, 0, 0, 0, 0, 0, memory.Down, memory.ReplyLost, memory.RequestLost}[r.IntN(9)]
	}
}

// runConcurrentProposals runs four clients with six proposals each and returns the
// history of their calls. Proposals that failed without effect are left out.
func runConcurrentProposals(table *memory.Table, objects *memory.Objects) []porcupine.Operation {
	var (
		mu      sync.Mutex
		history []porcupine.Operation
		clock   atomic.Int64
		callers sync.WaitGroup
	)
	for client := range 4 {
		callers.Go(func() {
			p := revision.NewPublisher(revision.PublisherOptions{
				Table: table, Objects: objects, Prefix: prefix, MaxAttempts: 4, InitialBackoff: 1,
			})
			base := uint64(0)
			for i := range 6 {
				op := fmt.Sprint(client, "/", i)
				call := clock.Add(1)
				accepted, err := p.Propose(context.Background(), base, []byte(op), op, "ana")
				o := porcupine.Operation{ClientId: client, Input: base, Call: call, Output: outcomeAccepted, Return: clock.Add(1)}
				other, conflict := revision.ConflictOf(err)
				switch {
				case err == nil:
					base = accepted.Revision.Number
				case conflict:
					o.Output = outcomeConflict
					base = other.Number
				case errorx.IsOfType(err, revision.ErrUnknown):
					o.Output, o.Return = outcomeUnknown, math.MaxInt64
				default:
					continue
				}
				mu.Lock()
				history = append(history, o)
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return history
}
