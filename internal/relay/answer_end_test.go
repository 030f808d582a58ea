package relay

import (
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/shifts"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/pace"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/routing"
	"github.com/poplarshore/poplarshore/upstream"
)

// fixedPlacement expects the same end of each model's answers on any upstream.
type fixedPlacement struct {
	engine, slow *engines.Engine
	ends         map[model.Name]time.Duration
	tried        []upstream.ID
	// registry holds the metrics of the server that it serves.
	registry *prometheus.Registry
}

// count returns the value of the counter with the label values in the order of their names.
func (p *fixedPlacement) count(name string, values ...string) float64 {
	families, _ := p.registry.Gather()
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			var found []string
			for _, label := range metric.GetLabel() {
				found = append(found, label.GetValue())
			}
			if family.GetName() == name && slices.Equal(found, values) {
				return metric.GetCounter().GetValue()
			}
		}
	}
	return 0
}

func (p *fixedPlacement) Choose(req engines.Requirements) engines.Choice {
	p.tried = req.Tried
	return engines.Choice{Engine: p.engine, AnswerEnd: p.ends[req.Answer.Model]}
}

func (p *fixedPlacement) IsFragile(string) bool { return false }

type allVersions struct{}

func (allVersions) Allowed(string, float64) func(model.VersionID) bool { return nil }
func (allVersions) Begin(shifts.Attempt) *shifts.Running               { return nil }
func (allVersions) TrialShare(string, float64) float64                 { return 0 }

// emptyTables is a configuration without routes.
type emptyTables struct{}

func (emptyTables) Table() *routing.Table { return routing.Compile(routing.Config{}) }

func (emptyTables) TableAt(time.Time, int64) *routing.Table { return routing.Compile(routing.Config{}) }

// newStream returns a request on a resumable route with 15 s to its deadline, whose answers have
// some 30 events, and the placement that serves it.
func newStream(t *testing.T, budget retry.Allowance) (*exchange, *fixedPlacement, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	directory := engines.New(engines.Options{
		Rank: func() (int, int) { return 0, 1 }, RegionOf: func(domain.ID) domain.Region { return "r" },
		Placement: engines.DefaultPlacement(), Registry: prometheus.NewRegistry(),
	}, clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
	directory.Put(engines.Entry{ID: "fast", Service: "s", Capacity: 10})
	directory.Put(engines.Entry{ID: "slow", Service: "s", Capacity: 10})
	placement := &fixedPlacement{ends: make(map[model.Name]time.Duration), registry: prometheus.NewRegistry()}
	for _, e := range directory.ForService("s") {
		if e.ID() == "fast" {
			placement.engine = e
		} else {
			placement.slow = e
		}
	}
	opts := DefaultOptions()
	opts.AnswerEnd = true
	budgets := retry.NewWindowBudgets(retry.WindowBudgetOptions{
		Span: 10 * time.Second, Allowances: map[retry.ScopeKind]retry.Allowance{retry.UpstreamScope: budget},
	})
	s := New(Deps{
		Tables: emptyTables{}, Placement: placement, Versions: allVersions{}, Clock: clock, Metrics: NewMetrics(placement.registry),
		Retry: retry.NewPolicy(retry.DefaultOptions(), budgets),
	}, opts)
	for range 10 {
		s.lengths.Observe("r", pace.Hint{Tokens: 270}, 30)
	}
	x := &exchange{
		server: s, startedAt: clock.Now(), deadline: clock.Now().Add(15 * time.Second), service: "s",
		request: &Request{PromptTokens: 222, OutputTokens: 270},
		route: &routing.Route{
			Name: "r", Streaming: true, Resumable: true, MaxAttempts: 3, Models: []model.Name{"small", "middle", "large"},
			TargetLatency: 1500 * time.Millisecond, MaxPause: 800 * time.Millisecond,
		},
		table: routing.Compile(routing.Config{}),
	}
	x.retryState = retry.State{Group: "s", Deadline: x.deadline, Repeatable: true, Resumable: true, MaxAttempts: 3}
	return x, placement, clock
}

// TestWeakAnswerIsKeptIfStrongerOnesEndLate replays requests whose weak
// answers were dropped for ones that were cut at the deadline.
func TestWeakAnswerIsKeptIfStrongerOnesEndLate(t *testing.T) {
	g := NewWithT(t)
	x, placement, clock := newStream(t, retry.Allowance{Slack: 10})
	clock.Advance(180 * time.Millisecond)
	answer := cascade.Answer{Models: 3, Confidence: 13, RunsLeft: 2, TimeLeft: x.timeLeft()}
	for _, c := range []struct {
		middle, large time.Duration
		next          int
		drop          bool
	}{
		{3 * time.Second, 5 * time.Second, 2, true},
		{3 * time.Second, 14 * time.Second, 1, true},
		{13 * time.Second, 30 * time.Second, 0, false},
		{0, 0, 2, true},
	} {
		placement.ends["middle"], placement.ends["large"] = c.middle, c.large
		next, drop := x.nextModelInTime(answer)
		g.Expect(drop).To(Equal(c.drop), "%+v", c)
		g.Expect(next).To(Equal(c.next), "%+v", c)
		g.Expect(x.modelIndex).To(BeZero())
	}
	x.server.opts.AnswerEnd = false
	placement.ends["large"] = 30 * time.Second
	next, _ := x.nextModelInTime(answer)
	g.Expect(next).To(Equal(2), "the setting is off")
}

func TestFirstModelEndsInTime(t *testing.T) {
	g := NewWithT(t)
	x, placement, _ := newStream(t, retry.Allowance{Slack: 10})
	input := cascade.FirstInput{Models: 3, RunsLeft: 1, SecondRunAllowed: true}
	g.Expect(x.firstModelInTime(input)).To(Equal(2))
	placement.ends["large"], placement.ends["middle"] = 20*time.Second, 8*time.Second
	g.Expect(x.firstModelInTime(input)).To(Equal(1))
	placement.ends["middle"] = 14 * time.Second
	g.Expect(x.firstModelInTime(input)).To(Equal(0))
}

// runEvents lets a stream on the slow upstream have n events.
func runEvents(x *exchange, clock *clockwork.FakeClock, n int, gap time.Duration) *attempt {
	a := &attempt{exchange: x, startedAt: clock.Now(), model: "large", engine: x.server.Placement.(*fixedPlacement).slow}
	a.tracked = a.engine.Begin(0)
	for range n {
		clock.Advance(gap)
		a.events++
		x.events++
		a.lastAfter = clock.Since(a.startedAt)
		x.lastEvent = string(rune('0' + a.events))
		a.recordPace()
	}
	return a
}

// TestSlowStreamIsMovedOnce guards against streams that run on a slow upstream until the deadline,
// and against more than one move for a request.
func TestSlowStreamIsMovedOnce(t *testing.T) {
	g := NewWithT(t)
	x, placement, clock := newStream(t, retry.Allowance{Slack: 10})
	x.modelIndex = 2
	a := runEvents(x, clock, 5, 900*time.Millisecond)
	placement.ends["large"] = 12 * time.Second
	g.Expect(a.shouldMove()).To(BeFalse(), "it would be late elsewhere")
	placement.ends["large"] = 3 * time.Second
	g.Expect(a.shouldMove()).To(BeFalse(), "the other upstreams were looked at a moment ago")
	clock.Advance(moveRetryInterval)
	g.Expect(a.shouldMove()).To(BeTrue())
	g.Expect(placement.tried).To(ConsistOf(a.engine.ID()))
	g.Expect(x.retryPrepaid).To(BeTrue())
	clock.Advance(time.Second)
	g.Expect(a.shouldMove()).To(BeFalse(), "it was moved already")
	x.recordMoved("answered")
	for _, outcome := range []string{"begun", "answered", "no_faster_upstream"} {
		g.Expect(placement.count("poplarshore_relay_moves_total", outcome)).To(BeEquivalentTo(1), outcome)
	}
}

func TestStreamIsNotMovedWithoutNeedOrBudget(t *testing.T) {
	g := NewWithT(t)
	x, placement, clock := newStream(t, retry.Allowance{Slack: 10})
	x.modelIndex, placement.ends["large"] = 2, 2*time.Second
	g.Expect(runEvents(x, clock, 8, 60*time.Millisecond).shouldMove()).To(BeFalse(), "it is fast")
	silent := runEvents(x, clock, 2, 100*time.Millisecond)
	clock.Advance(4 * time.Second)
	g.Expect(silent.shouldMove()).To(BeTrue(), "it is silent")

	x, placement, clock = newStream(t, retry.Allowance{})
	x.modelIndex, placement.ends["large"] = 2, 2*time.Second
	g.Expect(runEvents(x, clock, 5, 900*time.Millisecond).shouldMove()).To(BeFalse(), "the budget is used up")
	g.Expect(placement.count("poplarshore_relay_retries_total", "too_slow", "upstream_budget")).To(BeEquivalentTo(1))

	x, placement, clock = newStream(t, retry.Allowance{Slack: 10})
	x.modelIndex, placement.ends["large"], x.retryState.Resumable = 2, 2*time.Second, false
	g.Expect(runEvents(x, clock, 5, 900*time.Millisecond).shouldMove()).To(BeFalse(), "the route can't be resumed")
}

// TestSlowStreamIsNotMovedToSilentUpstream guards against a stream, slow but alive, that is ended for an upstream that sends
// nothing.
func TestSlowStreamIsNotMovedToSilentUpstream(t *testing.T) {
	g := NewWithT(t)
	x, placement, clock := newStream(t, retry.Allowance{Slack: 10})
	x.modelIndex, placement.ends["large"] = 2, 2*time.Second
	a := runEvents(x, clock, 5, 900*time.Millisecond)
	placement.engine.MarkSilent()
	g.Expect(a.shouldMove()).To(BeFalse(), "the only target is silent")
	g.Expect(x.retryPrepaid).To(BeFalse())
	g.Expect(placement.count("poplarshore_relay_moves_total", "silent_upstream")).To(BeEquivalentTo(1))
	clock.Advance(engines.SilencePenalty)
	g.Expect(a.shouldMove()).To(BeTrue())
}

// TestSlowCallerMovesNoStream guards against moves of streams that their caller holds up.
func TestSlowCallerMovesNoStream(t *testing.T) {
	g := NewWithT(t)
	x, placement, clock := newStream(t, retry.Allowance{Slack: 10})
	x.modelIndex, placement.ends["large"] = 2, 2*time.Second
	a := runEvents(x, clock, 1, 60*time.Millisecond)
	for range 5 {
		a.events++
		x.events++
		clock.Advance(50 * time.Millisecond)
		a.lastAfter = clock.Since(a.startedAt)
		clock.Advance(900 * time.Millisecond)
		a.recordPace()
	}
	g.Expect(a.shouldMove()).To(BeFalse())
}
