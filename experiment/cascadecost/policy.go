package cascadecost

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/money"
)

const (
	cheap  = 0
	strong = 1
)

// answer is what a policy made of one request.
type answer struct {
	cost    float64
	quality float64
	latency time.Duration
	// unrated says that a cheap answer was delivered without a rating.
	unrated bool
	cheap   bool
}

// policy answers all requests of a workload.
type policy interface {
	name() string
	answer(s Setting, items []item, seed uint64) []answer
}

// always answers every request with one model.
type always struct {
	model int
}

func (p always) name() string {
	return [...]string{"always cheap", "always strong"}[p.model]
}

func (p always) answer(_ Setting, items []item, _ uint64) []answer {
	answers := make([]answer, len(items))
	for i, it := range items {
		answers[i] = single(it, p.model)
	}
	return answers
}

func single(it item, m int) answer {
	return answer{cost: it.cost[m], quality: it.quality[m], latency: it.latency[m], cheap: m == cheap}
}

// fixed tries the cheap model and accepts from a fixed score on. Unrated
// answers go on to the strong one.
type fixed struct {
	label     string
	threshold float64
}

func (p fixed) name() string { return p.label }

func (p fixed) answer(_ Setting, items []item, _ uint64) []answer {
	answers := make([]answer, len(items))
	for i, it := range items {
		answers[i] = p.one(it)
	}
	return answers
}

func (p fixed) one(it item) answer {
	first := single(it, cheap)
	first.latency += it.ratingLatency
	if it.rated[cheap] && it.gate[cheap] >= p.threshold {
		return first
	}
	second := single(it, strong)
	second.cost += first.cost
	second.latency += first.latency
	return second
}

// tuned is the fixed threshold that is best for the workload in hindsight.
type tuned struct{}

func (tuned) name() string { return "fixed, tuned in hindsight" }

const thresholdStep = 0.005

func (tuned) answer(s Setting, items []item, seed uint64) []answer {
	for threshold := 0.0; ; threshold += thresholdStep {
		answers := fixed{threshold: threshold}.answer(s, items, seed)
		if threshold > 1 || meanQuality(answers) >= s.Target {
			return answers
		}
	}
}

func meanQuality(answers []answer) float64 {
	sum := 0.0
	for _, a := range answers {
		sum += a.quality
	}
	return sum / float64(len(answers))
}

// oracle knows every quality beforehand.
type oracle struct{}

func (oracle) name() string { return "oracle" }

func (oracle) answer(s Setting, items []item, _ uint64) []answer {
	answers := always{strong}.answer(s, items, 0)
	order := make([]int, len(items))
	spare := -s.Target * float64(len(items))
	for i := range items {
		order[i] = i
		spare += items[i].quality[strong]
	}
	sort.Slice(order, func(a, b int) bool { return loss(items[order[a]]) < loss(items[order[b]]) })
	for _, i := range order {
		gap := items[i].quality[strong] - items[i].quality[cheap]
		if gap > 0 && gap > spare {
			break
		}
		spare -= gap
		answers[i] = single(items[i], cheap)
	}
	return answers
}

// loss returns the quality lost for each micro saved by the cheap answer.
func loss(it item) float64 {
	return (it.quality[strong] - it.quality[cheap]) / (it.cost[strong] - it.cost[cheap])
}

// adaptive is the cascade package's Decider.
type adaptive struct {
	label   string
	options cascade.Options
}

func (p adaptive) name() string { return p.label }

func (p adaptive) answer(s Setting, items []item, seed uint64) []answer {
	options := p.options
	options.Rand = rand.New(rand.NewPCG(seed, 2))
	decider := cascade.New(options)
	answers := make([]answer, len(items))
	for i, it := range items {
		answers[i] = (&serving{setting: s, decider: decider, item: it}).run()
	}
	return answers
}

// serving plays one request against the decider.
type serving struct {
	setting Setting
	decider *cascade.Decider
	item    item
	cost    float64
}

func (v *serving) run() answer {
	it := v.item
	run, step := v.decider.Start(v.request(), it.at)
	now := it.at
	if step.Shadow != cascade.NoOption {
		v.cost += it.cost[step.Shadow]
		v.decider.Observe(run, v.outcome(step.Shadow, step), now.Add(it.latency[step.Shadow]))
	}
	for step.Kind != cascade.Accept {
		step, now = v.next(run, step, now)
	}
	if step.Audit {
		v.decider.Audit(run, it.audited[step.Answer], it.audit[step.Answer], it.ratingLatency, now)
	}
	return answer{
		cost:    v.cost,
		quality: it.quality[step.Answer],
		latency: now.Sub(it.at),
		cheap:   step.Answer == cheap,
		unrated: step.Reason == cascade.ReasonClassMean,
	}
}

func (v *serving) request() cascade.Request {
	it := v.item
	return cascade.Request{
		Contract: "works",
		Class:    it.class,
		Target:   v.setting.Target,
		Floor:    v.setting.Target - 0.2,
		Deadline: it.at.Add(v.setting.Deadline),
		Options: []cascade.Option{
			{Model: "cheap", Cost: money.Micros(it.cost[cheap]), Latency: meanLatency[cheap], Quality: 0.7},
			{Model: "strong", Cost: money.Micros(it.cost[strong]), Latency: meanLatency[strong], Quality: 0.9},
		},
	}
}

func (v *serving) outcome(m int, step cascade.Step) cascade.Outcome {
	it := v.item
	wait := max(step.RatingTimeout, 0)
	inTime := it.rated[m] && it.ratingLatency <= wait
	return cascade.Outcome{
		Option: m, Latency: it.latency[m], RatingRequested: true, Rated: inTime, Score: it.gate[m],
		RatingLatency: min(it.ratingLatency, wait),
	}
}

// next plays one step: the attempt or, for a hedge, both attempts.
func (v *serving) next(run *cascade.Run, step cascade.Step, now time.Time) (cascade.Step, time.Time) {
	it := v.item
	if step.Kind == cascade.Hedge {
		return v.hedge(run, step, now)
	}
	m := step.Start[0]
	v.cost += it.cost[m]
	out := cascade.Outcome{Option: m, Latency: it.latency[m]}
	now = now.Add(it.latency[m])
	if step.Rate {
		out = v.outcome(m, step)
		now = now.Add(out.RatingLatency)
	}
	return v.decider.Next(run, out, now), now
}

func (v *serving) hedge(run *cascade.Run, step cascade.Step, now time.Time) (cascade.Step, time.Time) {
	it := v.item
	first := v.outcome(cheap, step)
	rated := now.Add(it.latency[cheap] + first.RatingLatency)
	whole := now.Add(it.latency[strong])
	v.cost += it.cost[cheap]
	if rated.Before(whole) {
		next := v.decider.Next(run, first, rated)
		if next.Kind == cascade.Accept {
			v.cost += it.cost[strong] * float64(rated.Sub(now)) / float64(whole.Sub(now))
			return next, rated
		}
	}
	v.cost += it.cost[strong]
	return v.decider.Next(run, cascade.Outcome{Option: strong, Latency: it.latency[strong]}, whole), whole
}
