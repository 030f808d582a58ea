package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

const (
	length    = 50 * time.Second // of one case
	stopAt    = 25 * time.Second // planned stop of node a
	actEvery  = 500 * time.Millisecond
	absence   = 15 * time.Second // of a paused node or the whole store
	maxSilent = 16 * time.Second // from the last act of a holder to the first of the next
)

// trouble is what happens to node a at one of its steps, a store operation.
type trouble struct {
	name  string
	slack time.Duration // added to the longest time without an act
	strike
}

type strike func(ctx context.Context, c *cluster) memory.Fault

func constant(f memory.Fault) strike {
	return func(context.Context, *cluster) memory.Fault { return f }
}

var troubles = []trouble{
	{"none", 0, constant(memory.None)},
	{"down", 0, constant(memory.Down)},
	{"reply lost", 0, constant(memory.ReplyLost)},
	{"request lost", 0, constant(memory.RequestLost)},
	{"sent twice", 0, constant(memory.Twice)},
	{"slow", 0, func(ctx context.Context, c *cluster) memory.Fault {
		c.wait(ctx.Done())
		return memory.None
	}},
	{"arrives soon after", 0, func(_ context.Context, c *cluster) memory.Fault {
		time.AfterFunc(time.Second, c.table.Deliver)
		return memory.Late
	}},
	{"arrives when given up", 0, func(_ context.Context, c *cluster) memory.Fault {
		time.AfterFunc(absence, c.table.Deliver)
		return memory.Late
	}},
	{"store out for all", absence, func(_ context.Context, c *cluster) memory.Fault {
		c.outUntil(time.Now().Add(absence))
		return memory.Down
	}},
	{"node paused", 0, func(_ context.Context, c *cluster) memory.Fault {
		c.pause("a", absence)
		return memory.None
	}},
	{"node killed", 0, func(_ context.Context, c *cluster) memory.Fault {
		c.pause("a", length)
		return memory.None
	}},
	{"node killed and restarted with nothing", 0, func(_ context.Context, c *cluster) memory.Fault {
		c.start("a", "a again", nil)
		c.pause("a", length)
		return memory.None
	}},
	{"planned stop", 0, func(_ context.Context, c *cluster) memory.Fault {
		c.stop("a")
		return memory.None
	}},
}

// cluster is a few nodes that contend for one job.
type cluster struct {
	table *memory.Table
	ctx   context.Context
	begun time.Time
	group sync.WaitGroup

	mu     sync.Mutex
	out    time.Time
	paused map[string]time.Time
	stops  map[string]context.CancelFunc
	acts   []time.Time
	faults []string
}

// wait blocks until the channel closes or the case ends.
func (c *cluster) wait(done <-chan struct{}) {
	select {
	case <-done:
	case <-c.ctx.Done():
	}
}

func (c *cluster) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-c.ctx.Done():
	}
}

func (c *cluster) outUntil(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out = t
}

func (c *cluster) isOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.out)
}

// pause makes all operations and acts of the node wait.
func (c *cluster) pause(node string, d time.Duration) {
	c.mu.Lock()
	c.paused[node] = time.Now().Add(d)
	c.mu.Unlock()
	c.sleep(d)
}

func (c *cluster) awaitPause(node string) {
	c.mu.Lock()
	left := time.Until(c.paused[node])
	c.mu.Unlock()
	c.sleep(left)
}

func (c *cluster) stop(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops[node]()
}

// start runs a node whose store operations meet the injector.
func (c *cluster) start(node, holder string, injector memory.Injector) {
	table := c.table.Client(func(ctx context.Context, op memory.Op, key string) memory.Fault {
		c.awaitPause(holder)
		if c.isOut() {
			return memory.Down
		}
		if injector == nil {
			return memory.None
		}
		return injector(ctx, op, key)
	})
	source := rand.New(rand.NewPCG(1, uint64(len(holder))))
	m, err := lease.New(table, node, lease.Options{Jitter: source.Float64})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	c.stops[holder] = cancel
	c.mu.Unlock()
	c.group.Go(func() {
		_ = m.Run(ctx, job, func(ctx context.Context, l *lease.Lease) error {
			return c.work(ctx, holder, l)
		})
	})
}

// work acts until the lease or the context ends.
func (c *cluster) work(ctx context.Context, holder string, l *lease.Lease) error {
	for ctx.Err() == nil {
		c.awaitPause(holder)
		if err := l.Check(); err != nil {
			return err
		}
		c.act(holder, l.Fence())
		c.sleep(actEvery)
	}
	return nil
}

// act records an act, which is a fault if the table says that the term is over.
func (c *cluster) act(holder string, fence uint64) {
	held := holds(c.table, fence)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acts = append(c.acts, time.Now())
	if !held {
		c.faults = append(c.faults, fmt.Sprintf("%s acts with token %d after its term", holder, fence))
	}
}

// longestSilence returns the longest time without an act.
func (c *cluster) longestSilence() time.Duration {
	var longest time.Duration
	last := c.begun
	for _, at := range append(c.acts, c.begun.Add(length)) {
		longest = max(longest, at.Sub(last))
		last = at
	}
	return longest
}

// handover returns the time from the planned stop to the next act.
func (c *cluster) handover() time.Duration {
	for _, at := range c.acts {
		if after := at.Sub(c.begun.Add(stopAt)); after > 0 {
			return after
		}
	}
	return length
}

// run lets node a, which takes over from a holder that died, meet the trouble
// at its given step, and returns the number of its steps, the cluster at the end
// and the breaches.
func run(step int, t trouble) (int, *cluster, []string) {
	var (
		c     *cluster
		steps int
	)
	inBubble(func() {
		ctx, cancel := context.WithTimeout(context.Background(), length)
		defer cancel()
		c = &cluster{
			table:  memory.NewTable(),
			ctx:    ctx,
			begun:  time.Now(),
			paused: make(map[string]time.Time),
			stops:  make(map[string]context.CancelFunc),
		}
		dead, _ := lease.New(c.table, "dead", lease.Options{})
		_, _ = dead.Acquire(ctx, job)
		c.start("a", "a", func(ctx context.Context, _ memory.Op, _ string) memory.Fault {
			steps++
			if steps-1 != step {
				return memory.None
			}
			return t.strike(ctx, c)
		})
		c.sleep(time.Second)
		c.start("b", "b", nil)
		c.start("c", "c2", nil)
		c.sleep(stopAt - time.Second)
		c.stop("a")
		c.group.Wait()
	})
	if silent := c.longestSilence(); silent > maxSilent+t.slack {
		c.faults = append(c.faults, fmt.Sprintf("no act for %v", silent))
	}
	return steps, c, c.faults
}

var _ = Describe("Fault matrix of a job", func() {
	var (
		steps  int
		calm   *cluster
		faults []string
	)
	BeforeEach(func() { steps, calm, faults = run(-1, troubles[0]) })

	It("has no breach without trouble and is handed over at a planned stop", func() {
		Expect(faults).To(BeEmpty())
		Expect(calm.handover()).To(BeNumerically("<", 3*time.Second))
		Expect(steps).To(BeNumerically(">", 12))
	})
	for _, t := range troubles[1:] {
		It("never has two holders and never stands still: "+t.name, func() {
			var breaches []string
			for step := range steps {
				if _, _, found := run(step, t); len(found) > 0 {
					breaches = append(breaches, fmt.Sprintf("step %d: %s", step, strings.Join(found, "; ")))
				}
			}
			Expect(breaches).To(BeEmpty())
		})
	}
})

var _ = Describe("Run", func() {
	It("cancels the job at the end of the lease even while the store hangs", func() {
		var after time.Duration
		inBubble(func() {
			var acquired atomic.Bool
			begun := time.Now()
			table := memory.NewTable()
			table.Faults = func(context.Context, memory.Op, string) memory.Fault {
				if acquired.Load() {
					<-time.After(time.Minute) // the store heeds no context
				}
				return memory.None
			}
			m, _ := lease.New(table, "a", lease.Options{})
			outer, cancel := context.WithCancel(context.Background())
			_ = m.Run(outer, job, func(ctx context.Context, _ *lease.Lease) error {
				acquired.Store(true)
				<-ctx.Done()
				after = time.Since(begun)
				cancel()
				return nil
			})
		})
		Expect(after).To(Equal(8 * time.Second))
	})
})
