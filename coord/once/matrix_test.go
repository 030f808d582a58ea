package once_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/once"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

// client sends one request repeatedly through VMs and records what they answer.
type client struct {
	table   *memory.Table
	clock   *clockwork.FakeClock
	killed  bool // VM a has been killed
	runs    int
	answers []string
}

// call sends the request through the VM that owns claims, and returns the answer. It
// handles the claim as an entry VM does, and stops where killed returns true.
func (c *client) call(claims *once.Claims, killed func() bool) string {
	outcome, err := claims.Claim(ctx, key, fingerprint)
	answer := outcome.Status.String() + string(outcome.Result)
	if err == nil && outcome.Status == once.Claimed && !killed() {
		c.runs++
		if !killed() {
			err = outcome.Claim.Complete(ctx, []byte("permit"))
		}
	}
	if err != nil {
		answer = "error"
	}
	c.answers = append(c.answers, answer)
	return answer
}

// neverKilled is the argument killed of call for a VM that keeps running.
func neverKilled() bool { return false }

// faultCase is a fault that is injected into store operations of VM a.
type faultCase struct {
	name   string
	inject func(c *client, b *once.Claims) memory.Fault
}

func constantFault(f memory.Fault) func(*client, *once.Claims) memory.Fault {
	return func(*client, *once.Claims) memory.Fault { return f }
}

var faultCases = []faultCase{
	{"down", constantFault(memory.Down)},
	{"reply lost", constantFault(memory.ReplyLost)},
	{"request lost", constantFault(memory.RequestLost)},
	{"late", constantFault(memory.Late)},
	{"sent twice", constantFault(memory.Twice)},
	{"slow beyond the timeout", func(c *client, _ *once.Claims) memory.Fault {
		c.clock.Advance(3 * time.Second)
		return memory.ReplyLost
	}},
	{"paused beyond the run limit", func(c *client, b *once.Claims) memory.Fault {
		c.clock.Advance(10 * time.Minute)
		c.call(b, neverKilled)
		return memory.None
	}},
	{"concurrent request with the same key", func(c *client, b *once.Claims) memory.Fault {
		c.call(b, neverKilled)
		return memory.None
	}},
	{"killed before the operation", func(c *client, _ *once.Claims) memory.Fault {
		c.killed = true
		return memory.Down
	}},
	{"killed after the operation", func(c *client, _ *once.Claims) memory.Fault {
		c.killed = true
		return memory.ReplyLost
	}},
}

// violation injects the fault into operations first and second of VM a and into the
// repeats operations that follow first. It returns what was violated, or an empty string.
func violation(fc faultCase, first, second, repeats int) string {
	c := &client{table: memory.NewTable(), clock: clockwork.NewFakeClock()}
	b := newClaims(c.table, "b", c.clock)
	step := 0
	a := newClaims(c.table.Client(func(context.Context, memory.Op, string) memory.Fault {
		step++
		if c.killed {
			return memory.Down
		}
		if step == first || step == second || step > first && step <= first+repeats {
			return fc.inject(c, b)
		}
		return memory.None
	}), "a", c.clock)
	answer := c.call(a, func() bool { return c.killed })
	c.table.Deliver()
	if answer == "error" && !c.killed {
		c.call(a, neverKilled)
	}
	restarted := newClaims(c.table, "a", c.clock) // without the state of VM a
	finalAnswers := []string{c.call(b, neverKilled), c.call(restarted, neverKilled)}
	switch {
	case c.runs > 1:
		return fmt.Sprintf("ran %d times: %v", c.runs, c.answers)
	case answer == "claimed" && !c.killed && strings.Join(finalAnswers, " ") != "donepermit donepermit":
		return fmt.Sprintf("the result was not stored: %v", c.answers)
	}
	return ""
}

var _ = Describe("Request under faults at each operation", func() {
	for _, fc := range faultCases {
		It("runs at most once and its result is stored: "+fc.name, func() {
			for first := 1; first <= 8; first++ {
				for second := first; second <= 8; second++ {
					for repeats := range 7 {
						Expect(violation(fc, first, second, repeats)).To(BeEmpty(),
							"fault at operations %d and %d and at %d more after the first", first, second, repeats)
					}
				}
			}
		})
	}
})
