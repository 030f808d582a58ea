package order_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/order"
	"github.com/poplarshore/poplarshore/upstream"
)

const (
	loadTime = 3 * time.Second
	caseTime = 38 * time.Second
	handover = 8 * time.Second // when the second holder takes over
)

// engine is a small model engine. Loads take loadTime.
type engine struct {
	mu      sync.Mutex
	fencing bool
	state   order.State
	ready   map[order.Item]time.Time
	active  map[order.Item]int
	loads   []time.Time
	faults  []string
}

func newEngine(fencing bool) *engine {
	return &engine{
		fencing: fencing,
		state:   order.State{Target: []order.Item{v1}},
		ready:   map[order.Item]time.Time{v1: time.Now()},
		active:  map[order.Item]int{v1: 1},
	}
}

func (e *engine) State(context.Context) (order.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	for item, at := range e.ready {
		if !time.Now().Before(at) {
			state.Loaded = append(state.Loaded, order.Loaded{Item: item, Active: e.active[item]})
		}
	}
	return state, nil
}

func (e *engine) Apply(_ context.Context, o order.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fencing && o.Fence < e.state.Fence {
		return order.ErrFenced.New("token %d", o.Fence)
	}
	for item := range e.ready {
		if slices.Contains(o.Items, item) {
			continue
		}
		if e.active[item] > 0 {
			e.faults = append(e.faults, fmt.Sprintf("%v unloaded while in use", item))
		}
		delete(e.ready, item)
	}
	for _, item := range o.Items {
		if _, ok := e.ready[item]; !ok {
			e.ready[item] = time.Now().Add(loadTime)
			e.loads = append(e.loads, time.Now())
		}
	}
	e.state = order.State{Generation: o.Generation, Target: o.Items, Role: o.Role}
	if e.fencing {
		e.state.Fence = o.Fence
	}
	return nil
}

// restart loses everything, also the fencing token and the requests.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = order.State{}
	clear(e.ready)
	clear(e.active)
}

// link is the way of one holder to an engine, on which operations meet faults.
type link struct {
	*engine
	strike func(op string, e *engine, apply func() error) error
}

func (l link) State(ctx context.Context) (order.State, error) {
	var state order.State
	err := l.strike("state", l.engine, func() (err error) {
		state, err = l.engine.State(ctx)
		return err
	})
	return state, err
}

func (l link) Apply(ctx context.Context, o order.Order) error {
	return l.strike("apply", l.engine, func() error { return l.engine.Apply(ctx, o) })
}

// term is a lease that ends at a given time.
type term struct {
	fence uint64
	ends  time.Time
}

func (t term) Fence() uint64            { return t.fence }
func (t term) Remaining() time.Duration { return max(0, time.Until(t.ends)) }

func (t term) Check() error {
	if t.Remaining() == 0 {
		return order.ErrUnavailable.New("the lease has ended")
	}
	return nil
}

// site is the engines and what is desired of them, as one holder sees it.
type site struct {
	engines map[upstream.ID]*engine
	want    []order.Item
	gen     uint64
	strike  func(op string, e *engine, apply func() error) error
	// parallel is the most engines spoken to at once, 0 for the default.
	parallel int
}

func (s site) Engine(id upstream.ID) order.Engine {
	return link{s.engines[id], s.strike}
}

func (s site) Desired(context.Context) ([]order.Desired, error) {
	var all []order.Desired
	for _, id := range []upstream.ID{"fences", "ignores", "third"} {
		all = append(all, order.Desired{Engine: id, Fencing: s.engines[id].fencing, Generation: s.gen, Items: s.want})
	}
	return all, nil
}

func pass(_ string, _ *engine, apply func() error) error { return apply() }

type trouble struct {
	name   string
	strike func(e *engine, apply func() error) error
}

var troubles = []trouble{
	{"down", func(*engine, func() error) error { return order.ErrUnavailable.New("down") }},
	{"refused", func(*engine, func() error) error { return order.ErrRefused.New("no memory") }},
	{"throttled", func(*engine, func() error) error { return order.ErrThrottled.New("weight store") }},
	{"reply lost", func(_ *engine, apply func() error) error {
		_ = apply()
		return order.ErrUnknown.New("reply lost")
	}},
	{"sent twice", func(_ *engine, apply func() error) error {
		_ = apply()
		return apply()
	}},
	{"late", func(_ *engine, apply func() error) error {
		time.AfterFunc(5*time.Second, func() { _ = apply() })
		return order.ErrUnknown.New("late")
	}},
	{"holder paused before the engine got it", func(_ *engine, apply func() error) error {
		<-time.After(2 * handover)
		return apply()
	}},
	{"engine restarted with nothing", func(e *engine, apply func() error) error {
		e.restart()
		return apply()
	}},
	{"slow", func(_ *engine, apply func() error) error {
		<-time.After(2 * time.Second)
		return apply()
	}},
}

// hold runs a reconciler for one term.
func hold(ctx context.Context, s site, t term) {
	r, err := order.NewReconciler(order.Options{Source: s, Fleet: s, Parallel: s.parallel})
	if err != nil {
		panic(err)
	}
	_ = r.Run(ctx, t)
}

// run lets the first holder, whose desired state goes out of date at the
// handover, meet the trouble at one step. It returns its number of steps.
func run(step int, t trouble) (int, []string) {
	var (
		steps  int
		faults []string
	)
	inBubble(func() {
		ctx, cancel := context.WithTimeout(context.Background(), caseTime)
		defer cancel()
		engines := map[upstream.ID]*engine{"fences": newEngine(true), "ignores": newEngine(false), "third": newEngine(true)}
		var mu sync.Mutex
		first := site{engines: engines, want: []order.Item{v1, v2}, gen: 2, strike: func(_ string, e *engine, apply func() error) error {
			mu.Lock()
			steps++
			hit := steps-1 == step
			mu.Unlock()
			if hit {
				return t.strike(e, apply)
			}
			return apply()
		}}
		second := site{engines: engines, want: []order.Item{v2, adapter}, gen: 3, strike: pass}
		var group sync.WaitGroup
		group.Go(func() { hold(ctx, first, term{1, time.Now().Add(handover)}) })
		<-time.After(handover + time.Second)
		group.Go(func() { hold(ctx, second, term{2, time.Now().Add(time.Hour)}) })
		<-time.After(handover)
		for _, e := range engines {
			e.mu.Lock()
			e.active[v1] = 0
			e.mu.Unlock()
		}
		group.Wait()
		faults = breaches(engines)
	})
	return steps, faults
}

// breaches tells where an engine did not get to its desired state or was
// treated badly on the way, and where loads went too fast.
func breaches(engines map[upstream.ID]*engine) []string {
	var faults []string
	var loads []time.Time
	for id, e := range engines {
		for _, fault := range e.faults {
			faults = append(faults, fmt.Sprintf("%s: %s", id, fault))
		}
		if !slices.Equal(e.state.Target, []order.Item{v2, adapter}) || e.state.Generation != 3 {
			faults = append(faults, fmt.Sprintf("%s ended with %v of generation %d", id, e.state.Target, e.state.Generation))
		}
		loads = append(loads, e.loads...)
	}
	slices.SortFunc(loads, time.Time.Compare)
	for i := 4; i < len(loads); i++ {
		if loads[i].Sub(loads[i-4]) < 3*time.Second {
			faults = append(faults, fmt.Sprintf("5 loads within %v", loads[i].Sub(loads[i-4])))
		}
	}
	return faults
}

var _ = Describe("Fault matrix of orders", func() {
	for _, t := range troubles {
		It("ends in the desired state, unloads nothing in use and keeps the pace: "+t.name, func() {
			steps, faults := run(-1, t)
			Expect(faults).To(BeEmpty())
			Expect(steps).To(BeNumerically(">", 20))
			var found []string
			for step := range steps {
				if _, faults := run(step, t); len(faults) > 0 {
					found = append(found, fmt.Sprintf("step %d: %s", step, strings.Join(faults, "; ")))
				}
			}
			Expect(found).To(BeEmpty())
		})
	}
})

var _ = Describe("Reconciler", func() {
	It("sends no order after its lease has ended within a round", func() {
		sent := 0
		inBubble(func() {
			engines := map[upstream.ID]*engine{"fences": newEngine(true), "ignores": newEngine(false), "third": newEngine(true)}
			slow := func(op string, _ *engine, apply func() error) error {
				if op == "apply" {
					sent++
					<-time.After(handover)
				}
				return apply()
			}
			s := site{engines: engines, want: []order.Item{v2}, gen: 2, strike: slow, parallel: 1}
			hold(context.Background(), s, term{1, time.Now().Add(handover / 2)})
		})
		Expect(sent).To(Equal(1))
	})
})
