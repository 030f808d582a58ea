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

// client repeats one request through VMs until it has the result.
type client struct {
	table  *memory.Table
	clock  *clockwork.FakeClock
	killed bool // VM a
	runs   int
	told   []string
}

// call sends the request through a VM, which handles it as an entry would.
func (c *client) call(claims *once.Claims, dead func() bool) string {
	outcome, err := claims.Claim(ctx, key, body)
	answer := outcome.Status.String() + string(outcome.Result)
	if err == nil && outcome.Status == once.Claimed && !dead() {
		c.runs++
		if !dead() {
			err = outcome.Claim.Complete(ctx, []byte("permit"))
		}
	}
	if err != nil {
		answer = "error"
	}
	c.told = append(c.told, answer)
	return answer
}

func alive() bool { return false }

// trouble is what VM a meets at one of its store operations.
type trouble struct {
	name   string
	strike func(c *client, b *once.Claims) memory.Fault
}

func fault(f memory.Fault) func(*client, *once.Claims) memory.Fault {
	return func(*client, *once.Claims) memory.Fault { return f }
}

var troubles = []trouble{
	{"down", fault(memory.Down)},
	{"reply lost", fault(memory.ReplyLost)},
	{"request lost", fault(memory.RequestLost)},
	{"late", fault(memory.Late)},
	{"sent twice", fault(memory.Twice)},
	{"slow beyond the timeout", func(c *client, _ *once.Claims) memory.Fault {
		c.clock.Advance(3 * time.Second)
		return memory.ReplyLost
	}},
	{"paused beyond the run limit", func(c *client, b *once.Claims) memory.Fault {
		c.clock.Advance(10 * time.Minute)
		c.call(b, alive)
		return memory.None
	}},
	{"the same request at once", func(c *client, b *once.Claims) memory.Fault {
		c.call(b, alive)
		return memory.None
	}},
	{"killed before", func(c *client, _ *once.Claims) memory.Fault {
		c.killed = true
		return memory.Down
	}},
	{"killed after", func(c *client, _ *once.Claims) memory.Fault {
		c.killed = true
		return memory.ReplyLost
	}},
}

// breach runs the case and tells what it broke.
func breach(t trouble, first, second, stays int) string {
	c := &client{table: memory.NewTable(), clock: clockwork.NewFakeClock()}
	b := newClaims(c.table, "b", c.clock)
	step := 0
	a := newClaims(c.table.Client(func(context.Context, memory.Op, string) memory.Fault {
		step++
		if c.killed {
			return memory.Down
		}
		if step == first || step == second || step > first && step <= first+stays {
			return t.strike(c, b)
		}
		return memory.None
	}), "a", c.clock)
	answer := c.call(a, func() bool { return c.killed })
	c.table.Deliver()
	if answer == "error" && !c.killed {
		c.call(a, alive)
	}
	again := newClaims(c.table, "a", c.clock) // restarted with nothing
	last := []string{c.call(b, alive), c.call(again, alive)}
	switch {
	case c.runs > 1:
		return fmt.Sprintf("ran %d times: %v", c.runs, c.told)
	case answer == "claimed" && !c.killed && strings.Join(last, " ") != "donepermit donepermit":
		return fmt.Sprintf("the result was not kept: %v", c.told)
	}
	return ""
}

var _ = Describe("Fault matrix of a request", func() {
	for _, t := range troubles {
		It("runs it at most once and keeps its result: "+t.name, func() {
			for first := 1; first <= 8; first++ {
				for second := first; second <= 8; second++ {
					for stays := range 7 {
						Expect(breach(t, first, second, stays)).To(BeEmpty(), "at operations %d, %d, for %d more", first, second, stays)
					}
				}
			}
		})
	}
})
