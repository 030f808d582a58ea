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

type verdict int

const (
	won verdict = iota
	lost
	unsettled
)

// headModel is a counter that a proposal may only raise from its own base.
var headModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		head, base := state.(uint64), input.(uint64)
		switch output.(verdict) {
		case won:
			return head == base, head + 1
		case lost:
			return head != base, head
		default: // applied at some time, or never: a lost write leaves the head alone
			if head == base {
				return true, head + 1
			}
			return true, head
		}
	},
}

var _ = Describe("Proposals by several operators at once", func() {
	It("are linearizable under lost requests, lost replies and outages", func() {
		for seed := range uint64(8) {
			table, objects := memory.NewTable(), memory.NewObjects()
			table.Faults = seededFaults(seed)
			history := race(table, objects)
			Expect(porcupine.CheckOperations(headModel, history)).To(BeTrue(), "seed %d", seed)
		}
	})
})

// seededFaults strikes about a third of the operations.
func seededFaults(seed uint64) memory.Injector {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 3))
	return func(context.Context, memory.Op, string) memory.Fault {
		mu.Lock()
		defer mu.Unlock()
		return []memory.Fault{0, 0, 0, 0, 0, 0, memory.Down, memory.ReplyLost, memory.RequestLost}[r.IntN(9)]
	}
}

func race(table *memory.Table, objects *memory.Objects) []porcupine.Operation {
	var (
		mu      sync.Mutex
		history []porcupine.Operation
		clock   atomic.Int64
		callers sync.WaitGroup
	)
	for client := range 4 {
		callers.Go(func() {
			p := revision.NewPublisher(revision.PublisherOptions{
				Table: table, Objects: objects, Prefix: prefix, Attempts: 4, Backoff: 1,
			})
			base := uint64(0)
			for i := range 6 {
				op := fmt.Sprint(client, "/", i)
				call := clock.Add(1)
				accepted, err := p.Propose(context.Background(), base, []byte(op), op, "ana")
				o := porcupine.Operation{ClientId: client, Input: base, Call: call, Output: won, Return: clock.Add(1)}
				other, conflict := revision.ConflictOf(err)
				switch {
				case err == nil:
					base = accepted.Revision.Number
				case conflict:
					o.Output = lost
					base = other.Number
				case errorx.IsOfType(err, revision.ErrUnknown):
					o.Output, o.Return = unsettled, math.MaxInt64
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
