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

// Times of one case.
const (
	caseDuration = 50 * time.Second       // length of one case
	plannedStop  = 25 * time.Second       // time of the planned stop of node a
	actInterval  = 500 * time.Millisecond // time between two side effects of a holder
	outage       = 15 * time.Second       // pause of a node, or store outage for all nodes
	maxGap       = 16 * time.Second       // maximum time between the side effects of two holders
)

// faultCase is a fault that is injected into one store operation (step) of node a.
type faultCase struct {
	name     string
	extraGap time.Duration // added to maxGap
	injectFunc
}

// injectFunc returns the fault of the operation, after any effect on the cluster.
type injectFunc func(ctx context.Context, c *cluster) memory.Fault

func constantFault(f memory.Fault) injectFunc {
	return func(context.Context, *cluster) memory.Fault { return f }
}

var faultCases = []faultCase{
	{"none", 0, constantFault(memory.None)},
	{"down", 0, constantFault(memory.Down)},
	{"reply lost", 0, constantFault(memory.ReplyLost)},
	{"request lost", 0, constantFault(memory.RequestLost)},
	{"sent twice", 0, constantFault(memory.Twice)},
	{"slow", 0, func(ctx context.Context, c *cluster) memory.Fault {
		c.waitFor(ctx.Done())
		return memory.None
	}},
	{"delivered after 1 s", 0, func(_ context.Context, c *cluster) memory.Fault {
		time.AfterFunc(time.Second, c.table.Deliver)
		return memory.Late
	}},
	{"delivered after the lease has ended", 0, func(_ context.Context, c *cluster) memory.Fault {
		time.AfterFunc(outage, c.table.Deliver)
		return memory.Late
	}},
	{"store unavailable to all nodes", outage, func(_ context.Context, c *cluster) memory.Fault {
		c.markStoreDownUntil(time.Now().Add(outage))
		return memory.Down
	}},
	{"node paused", 0, func(_ context.Context, c *cluster) memory.Fault {
		c.pause("a", outage)
		return memory.None
	}},
	{"node killed", 0, func(_ context.Context, c *cluster) memory.Fault {
		c.pause("a", caseDuration)
		return memory.None
	}},
	{"node killed and restarted without its state", 0, func(_ context.Context, c *cluster) memory.Fault {
		c.start("a", "a again", nil)
		c.pause("a", caseDuration)
		return memory.None
	}},
	{"planned stop", 0, func(_ context.Context, c *cluster) memory.Fault {
		c.stop("a")
		return memory.None
	}},
}

// cluster is a set of nodes that contend for one job. Its maps are indexed by node key,
// which differs from the holder name for a restarted node.
type cluster struct {
	table     *memory.Table
	ctx       context.Context
	startedAt time.Time
	group     sync.WaitGroup

	mu             sync.Mutex
	storeDownUntil time.Time
	pausedUntil    map[string]time.Time
	cancels        map[string]context.CancelFunc
	actTimes       []time.Time
	violations     []string
}

// waitFor blocks until done is closed or the case ends.
func (c *cluster) waitFor(done <-chan struct{}) {
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

func (c *cluster) markStoreDownUntil(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeDownUntil = t
}

func (c *cluster) isStoreDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.storeDownUntil)
}

// pause blocks all store operations and side effects of the node for d.
func (c *cluster) pause(nodeKey string, d time.Duration) {
	c.mu.Lock()
	c.pausedUntil[nodeKey] = time.Now().Add(d)
	c.mu.Unlock()
	c.sleep(d)
}

func (c *cluster) waitWhilePaused(nodeKey string) {
	c.mu.Lock()
	remaining := time.Until(c.pausedUntil[nodeKey])
	c.mu.Unlock()
	c.sleep(remaining)
}

func (c *cluster) stop(nodeKey string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels[nodeKey]()
}

// start runs a node whose store operations get the faults of the injector. A nil
// injector injects none.
func (c *cluster) start(name, nodeKey string, injector memory.Injector) {
	table := c.table.Client(func(ctx context.Context, op memory.Op, key string) memory.Fault {
		c.waitWhilePaused(nodeKey)
		if c.isStoreDown() {
			return memory.Down
		}
		if injector == nil {
			return memory.None
		}
		return injector(ctx, op, key)
	})
	random := rand.New(rand.NewPCG(1, uint64(len(nodeKey))))
	m, err := lease.New(table, name, lease.Options{Jitter: random.Float64})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	c.cancels[nodeKey] = cancel
	c.mu.Unlock()
	c.group.Go(func() {
		_ = m.Run(ctx, job, func(ctx context.Context, l *lease.Lease) error {
			return c.work(ctx, nodeKey, l)
		})
	})
}

// work performs side effects until the lease or the context ends.
func (c *cluster) work(ctx context.Context, nodeKey string, l *lease.Lease) error {
	for ctx.Err() == nil {
		c.waitWhilePaused(nodeKey)
		if err := l.Check(); err != nil {
			return err
		}
		c.act(nodeKey, l.Fence())
		c.sleep(actInterval)
	}
	return nil
}

// act records a side effect. It is a violation if the row no longer has the fencing
// token.
func (c *cluster) act(nodeKey string, fence uint64) {
	isHolder := rowHasToken(c.table, fence)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.actTimes = append(c.actTimes, time.Now())
	if !isHolder {
		c.violations = append(c.violations,
			fmt.Sprintf("node %s made a side effect with token %d after its lease ended", nodeKey, fence))
	}
}

// longestGap returns the longest time without a side effect.
func (c *cluster) longestGap() time.Duration {
	var longest time.Duration
	last := c.startedAt
	for _, at := range append(c.actTimes, c.startedAt.Add(caseDuration)) {
		longest = max(longest, at.Sub(last))
		last = at
	}
	return longest
}

// handoverTime returns the time from the planned stop to the next side effect.
func (c *cluster) handoverTime() time.Duration {
	for _, at := range c.actTimes {
		if delay := at.Sub(c.startedAt.Add(plannedStop)); delay > 0 {
			return delay
		}
	}
	return caseDuration
}

// runCase injects the fault into the given step of node a, which takes over from a
// holder that has stopped renewing; step -1 injects none. It returns the number of
// steps of node a, the cluster at the end and the violations.
func runCase(step int, fc faultCase) (int, *cluster, []string) {
	var (
		c     *cluster
		steps int
	)
	withFakeTime(func() {
		ctx, cancel := context.WithTimeout(context.Background(), caseDuration)
		defer cancel()
		c = &cluster{
			table:       memory.NewTable(),
			ctx:         ctx,
			startedAt:   time.Now(),
			pausedUntil: make(map[string]time.Time),
			cancels:     make(map[string]context.CancelFunc),
		}
		dead, _ := lease.New(c.table, "dead", lease.Options{})
		_, _ = dead.Acquire(ctx, job)
		c.start("a", "a", func(ctx context.Context, _ memory.Op, _ string) memory.Fault {
			steps++
			if steps-1 != step {
				return memory.None
			}
			return fc.injectFunc(ctx, c)
		})
		c.sleep(time.Second)
		c.start("b", "b", nil)
		c.start("c", "c2", nil)
		c.sleep(plannedStop - time.Second)
		c.stop("a")
		c.group.Wait()
	})
	if gap := c.longestGap(); gap > maxGap+fc.extraGap {
		c.violations = append(c.violations, fmt.Sprintf("no side effect for %v", gap))
	}
	return steps, c, c.violations
}

var _ = Describe("Lease under a fault at each step", func() {
	var (
		steps      int
		baseline   *cluster
		violations []string
	)
	BeforeEach(func() { steps, baseline, violations = runCase(-1, faultCases[0]) })

	It("has one holder at a time and is handed over within 3 s of a planned stop without faults", func() {
		Expect(violations).To(BeEmpty())
		Expect(baseline.handoverTime()).To(BeNumerically("<", 3*time.Second))
		Expect(steps).To(BeNumerically(">", 12))
	})
	for _, fc := range faultCases[1:] {
		It("has one holder at a time and no long gap: "+fc.name, func() {
			var violations []string
			for step := range steps {
				if _, _, found := runCase(step, fc); len(found) > 0 {
					violations = append(violations, fmt.Sprintf("step %d: %s", step, strings.Join(found, "; ")))
				}
			}
			Expect(violations).To(BeEmpty())
		})
	}
})

var _ = Describe("Run", func() {
	It("cancels the function when the lease expires while the store is blocked", func() {
		var cancelledAfter time.Duration
		withFakeTime(func() {
			var acquired atomic.Bool
			startedAt := time.Now()
			table := memory.NewTable()
			table.Faults = func(context.Context, memory.Op, string) memory.Fault {
				if acquired.Load() {
					<-time.After(time.Minute) // the store ignores the context
				}
				return memory.None
			}
			m, _ := lease.New(table, "a", lease.Options{})
			runCtx, cancel := context.WithCancel(context.Background())
			_ = m.Run(runCtx, job, func(ctx context.Context, _ *lease.Lease) error {
				acquired.Store(true)
				<-ctx.Done()
				cancelledAfter = time.Since(startedAt)
				cancel()
				return nil
			})
		})
		Expect(cancelledAfter).To(Equal(8 * time.Second))
	})
})
