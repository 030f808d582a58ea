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
	loadDuration = 3 * time.Second
	caseDuration = 38 * time.Second
	termDuration = 8 * time.Second // lease term of the first holder
)

// engine is a simulated model engine. Loads take loadDuration.
type engine struct {
	mu         sync.Mutex
	fencing    bool
	state      order.State
	loadedAt   map[order.Item]time.Time
	active     map[order.Item]int
	loadStarts []time.Time
	violations []string
}

func newEngine(fencing bool) *engine {
	return &engine{
		fencing:  fencing,
		state:    order.State{Target: []order.Item{v1}},
		loadedAt: map[order.Item]time.Time{v1: time.Now()},
		active:   map[order.Item]int{v1: 1},
	}
}

func (e *engine) State(context.Context) (order.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	for item, at := range e.loadedAt {
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
	for item := range e.loadedAt {
		if slices.Contains(o.Items, item) {
			continue
		}
		if e.active[item] > 0 {
			e.violations = append(e.violations, fmt.Sprintf("%v unloaded while in use", item))
		}
		delete(e.loadedAt, item)
	}
	for _, item := range o.Items {
		if _, ok := e.loadedAt[item]; !ok {
			e.loadedAt[item] = time.Now().Add(loadDuration)
			e.loadStarts = append(e.loadStarts, time.Now())
		}
	}
	e.state = order.State{Generation: o.Generation, Target: o.Items, Role: o.Role}
	if e.fencing {
		e.state.Fence = o.Fence
	}
	return nil
}

// restart clears all state, including the fencing token and the requests in flight.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = order.State{}
	clear(e.loadedAt)
	clear(e.active)
}

// faultyLink is the connection of one holder to an engine. It can inject faults into
// operations.
type faultyLink struct {
	*engine
	injectFault func(op string, e *engine, apply func() error) error
}

func (l faultyLink) State(ctx context.Context) (order.State, error) {
	var state order.State
	err := l.injectFault("state", l.engine, func() (err error) {
		state, err = l.engine.State(ctx)
		return err
	})
	return state, err
}

func (l faultyLink) Apply(ctx context.Context, o order.Order) error {
	return l.injectFault("apply", l.engine, func() error { return l.engine.Apply(ctx, o) })
}

// fixedLease is a lease that ends at a given time.
type fixedLease struct {
	fence uint64
	ends  time.Time
}

func (l fixedLease) Fence() uint64            { return l.fence }
func (l fixedLease) Remaining() time.Duration { return max(0, time.Until(l.ends)) }

func (l fixedLease) Check() error {
	if l.Remaining() == 0 {
		return order.ErrUnavailable.New("the lease has ended")
	}
	return nil
}

// holderView implements order.Source and order.Fleet for one holder: the engines and
// their desired state as this holder knows it.
type holderView struct {
	engines     map[upstream.ID]*engine
	items       []order.Item
	generation  uint64
	injectFault func(op string, e *engine, apply func() error) error
	// maxParallel is the maximum number of engines contacted at a time, 0 for the default.
	maxParallel int
}

func (h holderView) Engine(id upstream.ID) order.Engine {
	return faultyLink{h.engines[id], h.injectFault}
}

func (h holderView) Desired(context.Context) ([]order.Desired, error) {
	var desired []order.Desired
	for _, id := range []upstream.ID{"fences", "ignores", "third"} {
		desired = append(desired, order.Desired{Engine: id, Fencing: h.engines[id].fencing, Generation: h.generation,
			Items: h.items})
	}
	return desired, nil
}

// noFault runs the operation unchanged.
func noFault(_ string, _ *engine, apply func() error) error { return apply() }

// fault is a fault that is injected into one operation.
type fault struct {
	name   string
	inject func(e *engine, apply func() error) error
}

var faults = []fault{
	{"engine unavailable", func(*engine, func() error) error { return order.ErrUnavailable.New("engine unavailable") }},
	{"order refused", func(*engine, func() error) error { return order.ErrRefused.New("insufficient memory") }},
	{"load throttled", func(*engine, func() error) error { return order.ErrThrottled.New("weight store throttled") }},
	{"reply lost", func(_ *engine, apply func() error) error {
		_ = apply()
		return order.ErrUnknown.New("reply lost")
	}},
	{"operation executed twice", func(_ *engine, apply func() error) error {
		_ = apply()
		return apply()
	}},
	{"operation executed 5 s late, outcome unknown", func(_ *engine, apply func() error) error {
		time.AfterFunc(5*time.Second, func() { _ = apply() })
		return order.ErrUnknown.New("no reply in time")
	}},
	{"holder paused until after the takeover, then operation executed", func(_ *engine, apply func() error) error {
		<-time.After(2 * termDuration)
		return apply()
	}},
	{"engine restarted without state", func(e *engine, apply func() error) error {
		e.restart()
		return apply()
	}},
	{"operation takes 2 s", func(_ *engine, apply func() error) error {
		<-time.After(2 * time.Second)
		return apply()
	}},
}

// runTerm runs a reconciler for one lease term.
func runTerm(ctx context.Context, view holderView, lease fixedLease) {
	r, err := order.NewReconciler(order.Options{Source: view, Fleet: view, MaxParallel: view.maxParallel})
	if err != nil {
		panic(err)
	}
	_ = r.Run(ctx, lease)
}

// runWithFault runs two holders one after the other and injects the fault into one
// operation of the first, or into none if faultyStep is negative. The desired state of
// the first holder becomes outdated at the takeover. It returns the number of operations
// of the first holder and the violations found.
func runWithFault(faultyStep int, fault fault) (int, []string) {
	var (
		steps    int
		problems []string
	)
	inSynctestBubble(func() {
		ctx, cancel := context.WithTimeout(context.Background(), caseDuration)
		defer cancel()
		engines := map[upstream.ID]*engine{"fences": newEngine(true), "ignores": newEngine(false), "third": newEngine(true)}
		var mu sync.Mutex
		firstHolder := holderView{engines: engines, items: []order.Item{v1, v2}, generation: 2,
			injectFault: func(_ string, e *engine, apply func() error) error {
				mu.Lock()
				steps++
				hit := steps-1 == faultyStep
				mu.Unlock()
				if hit {
					return fault.inject(e, apply)
				}
				return apply()
			}}
		secondHolder := holderView{engines: engines, items: []order.Item{v2, adapter}, generation: 3, injectFault: noFault}
		var group sync.WaitGroup
		group.Go(func() { runTerm(ctx, firstHolder, fixedLease{1, time.Now().Add(termDuration)}) })
		<-time.After(termDuration + time.Second)
		group.Go(func() { runTerm(ctx, secondHolder, fixedLease{2, time.Now().Add(time.Hour)}) })
		<-time.After(termDuration)
		for _, e := range engines {
			e.mu.Lock()
			e.active[v1] = 0
			e.mu.Unlock()
		}
		group.Wait()
		problems = violations(engines)
	})
	return steps, problems
}

// violations returns the engines that did not reach their desired state or had items
// unloaded while in use, and the loads that exceeded the rate limit.
func violations(engines map[upstream.ID]*engine) []string {
	var problems []string
	var loads []time.Time
	for id, e := range engines {
		for _, problem := range e.violations {
			problems = append(problems, fmt.Sprintf("%s: %s", id, problem))
		}
		if !slices.Equal(e.state.Target, []order.Item{v2, adapter}) || e.state.Generation != 3 {
			problems = append(problems, fmt.Sprintf("%s ended with items %v of generation %d", id, e.state.Target,
				e.state.Generation))
		}
		loads = append(loads, e.loadStarts...)
	}
	slices.SortFunc(loads, time.Time.Compare)
	for i := 4; i < len(loads); i++ {
		if loads[i].Sub(loads[i-4]) < 3*time.Second {
			problems = append(problems, fmt.Sprintf("5 loads within %v", loads[i].Sub(loads[i-4])))
		}
	}
	return problems
}

var _ = Describe("Reconciler with a fault at any step", func() {
	for _, fault := range faults {
		It("reaches the desired state, unloads nothing in use and limits loads: "+fault.name, func() {
			steps, problems := runWithFault(-1, fault)
			Expect(problems).To(BeEmpty())
			Expect(steps).To(BeNumerically(">", 20))
			var found []string
			for step := range steps {
				if _, problems := runWithFault(step, fault); len(problems) > 0 {
					found = append(found, fmt.Sprintf("step %d: %s", step, strings.Join(problems, "; ")))
				}
			}
			Expect(found).To(BeEmpty())
		})
	}
})

var _ = Describe("Reconciler", func() {
	It("sends no further order if the lease ends within a round", func() {
		sent := 0
		inSynctestBubble(func() {
			engines := map[upstream.ID]*engine{"fences": newEngine(true), "ignores": newEngine(false), "third": newEngine(true)}
			slowApply := func(op string, _ *engine, apply func() error) error {
				if op == "apply" {
					sent++
					<-time.After(termDuration)
				}
				return apply()
			}
			view := holderView{engines: engines, items: []order.Item{v2}, generation: 2, injectFault: slowApply, maxParallel: 1}
			runTerm(context.Background(), view, fixedLease{1, time.Now().Add(termDuration / 2)})
		})
		Expect(sent).To(Equal(1))
	})
})
