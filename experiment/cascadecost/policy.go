package cascadecost

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/money"
)

// The models, as indices into the arrays of a request.
const (
	cheap  = 0
	strong = 1
)

// outcome is the result of serving one request.
type outcome struct {
	// cost is in micros and includes the attempts whose answers were not delivered.
	cost    float64
	quality float64
	latency time.Duration
	// unrated reports that the cheap answer was delivered without a rating.
	unrated bool
	// cheap reports that the cheap model's answer was delivered.
	cheap bool
}

// policy serves all requests of a workload. The returned outcomes are in the order
// of the requests.
type policy interface {
	name() string
	serve(s Setting, requests []request, seed uint64) []outcome
}

// singleModel serves every request with one model.
type singleModel struct {
	model int
}

func (p singleModel) name() string {
	return [...]string{"always cheap", "always strong"}[p.model]
}

func (p singleModel) serve(_ Setting, requests []request, _ uint64) []outcome {
	outcomes := make([]outcome, len(requests))
	for i, req := range requests {
		outcomes[i] = runModel(req, p.model)
	}
	return outcomes
}

// runModel returns the outcome of using one model only.
func runModel(req request, model int) outcome {
	return outcome{cost: req.cost[model], quality: req.quality[model], latency: req.latency[model], cheap: model == cheap}
}

// fixedThreshold tries the cheap model first and accepts its answer if the rating
// reaches the threshold. After a lower rating or none it uses the strong model.
type fixedThreshold struct {
	label     string
	threshold float64
}

func (p fixedThreshold) name() string { return p.label }

func (p fixedThreshold) serve(_ Setting, requests []request, _ uint64) []outcome {
	outcomes := make([]outcome, len(requests))
	for i, req := range requests {
		outcomes[i] = p.serveOne(req)
	}
	return outcomes
}

func (p fixedThreshold) serveOne(req request) outcome {
	first := runModel(req, cheap)
	first.latency += req.ratingLatency
	if req.gateRated[cheap] && req.gateRating[cheap] >= p.threshold {
		return first
	}
	second := runModel(req, strong)
	second.cost += first.cost
	second.latency += first.latency
	return second
}

// tunedThreshold is fixedThreshold with the lowest threshold that meets the quality
// target, found with knowledge of the whole workload.
type tunedThreshold struct{}

func (tunedThreshold) name() string { return "fixed, tuned in hindsight" }

// thresholdStep is the step of the search for the threshold.
const thresholdStep = 0.005

func (tunedThreshold) serve(s Setting, requests []request, seed uint64) []outcome {
	for threshold := 0.0; ; threshold += thresholdStep {
		outcomes := fixedThreshold{threshold: threshold}.serve(s, requests, seed)
		if threshold > 1 || meanQuality(outcomes) >= s.Target {
			return outcomes
		}
	}
}

func meanQuality(outcomes []outcome) float64 {
	sum := 0.0
	for _, o := range outcomes {
		sum += o.quality
	}
	return sum / float64(len(outcomes))
}

// oracle knows the quality of every answer in advance.
type oracle struct{}

func (oracle) name() string { return "oracle" }

func (oracle) serve(s Setting, requests []request, _ uint64) []outcome {
	outcomes := singleModel{strong}.serve(s, requests, 0)
	order := make([]int, len(requests))
	surplus := -s.Target * float64(len(requests))
	for i := range requests {
		order[i] = i
		surplus += requests[i].quality[strong]
	}
	sort.Slice(order, func(a, b int) bool { return lossPerMicro(requests[order[a]]) < lossPerMicro(requests[order[b]]) })
	for _, i := range order {
		loss := requests[i].quality[strong] - requests[i].quality[cheap]
		if loss > 0 && loss > surplus {
			break
		}
		surplus -= loss
		outcomes[i] = runModel(requests[i], cheap)
	}
	return outcomes
}

// lossPerMicro returns the quality lost per micro saved by using the cheap answer.
func lossPerMicro(req request) float64 {
	return (req.quality[strong] - req.quality[cheap]) / (req.cost[strong] - req.cost[cheap])
}

// adaptive is the policy under test: cascade.Decider.
type adaptive struct {
	label   string
	options cascade.Options
}

func (p adaptive) name() string { return p.label }

func (p adaptive) serve(s Setting, requests []request, seed uint64) []outcome {
	options := p.options
	options.Rand = rand.New(rand.NewPCG(seed, 2))
	decider := cascade.New(options)
	outcomes := make([]outcome, len(requests))
	for i, req := range requests {
		outcomes[i] = (&execution{setting: s, decider: decider, request: req}).run()
	}
	return outcomes
}

// execution serves one request step by step, as the decider directs.
type execution struct {
	setting Setting
	decider *cascade.Decider
	request request
	// cost is the cost so far in micros.
	cost float64
}

func (e *execution) run() outcome {
	req := e.request
	run, step := e.decider.Start(e.newRequest(), req.arrivedAt)
	now := req.arrivedAt
	if step.Shadow != cascade.NoOption {
		e.cost += req.cost[step.Shadow]
		e.decider.Observe(run, e.ratedOutcome(step.Shadow, step), now.Add(req.latency[step.Shadow]))
	}
	for step.Kind != cascade.Accept {
		step, now = e.runStep(run, step, now)
	}
	if step.Audit {
		e.decider.Audit(run, req.auditRated[step.Answer], req.auditRating[step.Answer], req.ratingLatency, now)
	}
	return outcome{
		cost:    e.cost,
		quality: req.quality[step.Answer],
		latency: now.Sub(req.arrivedAt),
		cheap:   step.Answer == cheap,
		unrated: step.Reason == cascade.ReasonClassMean,
	}
}

// newRequest describes the request to the decider, with prior estimates of both
// models.
func (e *execution) newRequest() cascade.Request {
	req := e.request
	return cascade.Request{
		Contract: "works",
		Class:    req.class,
		Target:   e.setting.Target,
		Floor:    e.setting.Target - 0.2,
		Deadline: req.arrivedAt.Add(e.setting.Deadline),
		Options: []cascade.Option{
			{Model: "cheap", Cost: money.Micros(req.cost[cheap]), Latency: medianLatency[cheap], Quality: 0.7},
			{Model: "strong", Cost: money.Micros(req.cost[strong]), Latency: medianLatency[strong], Quality: 0.9},
		},
	}
}

// ratedOutcome returns the outcome of an attempt whose rating was requested. It
// has no rating if the rating service gives none or takes longer than RatingTimeout.
func (e *execution) ratedOutcome(model int, step cascade.Step) cascade.Outcome {
	req := e.request
	ratingTimeout := max(step.RatingTimeout, 0)
	ratedInTime := req.gateRated[model] && req.ratingLatency <= ratingTimeout
	return cascade.Outcome{
		Option: model, Latency: req.latency[model], RatingRequested: true, Rated: ratedInTime, Score: req.gateRating[model],
		RatingLatency: min(req.ratingLatency, ratingTimeout),
	}
}

// runStep runs the attempt of a step or, for a hedge, both attempts. It returns the
// next step and the time at which it starts.
func (e *execution) runStep(run *cascade.Run, step cascade.Step, now time.Time) (cascade.Step, time.Time) {
	req := e.request
	if step.Kind == cascade.Hedge {
		return e.runHedge(run, step, now)
	}
	model := step.Start[0]
	e.cost += req.cost[model]
	attemptOutcome := cascade.Outcome{Option: model, Latency: req.latency[model]}
	now = now.Add(req.latency[model])
	if step.Rate {
		attemptOutcome = e.ratedOutcome(model, step)
		now = now.Add(attemptOutcome.RatingLatency)
	}
	return e.decider.Next(run, attemptOutcome, now), now
}

// runHedge runs both models at the same time. If the cheap answer is accepted first,
// the strong attempt is cancelled and charged for the part that has run.
func (e *execution) runHedge(run *cascade.Run, step cascade.Step, now time.Time) (cascade.Step, time.Time) {
	req := e.request
	cheapOutcome := e.ratedOutcome(cheap, step)
	cheapRatedAt := now.Add(req.latency[cheap] + cheapOutcome.RatingLatency)
	strongDoneAt := now.Add(req.latency[strong])
	e.cost += req.cost[cheap]
	if cheapRatedAt.Before(strongDoneAt) {
		next := e.decider.Next(run, cheapOutcome, cheapRatedAt)
		if next.Kind == cascade.Accept {
			e.cost += req.cost[strong] * float64(cheapRatedAt.Sub(now)) / float64(strongDoneAt.Sub(now))
			return next, cheapRatedAt
		}
	}
	e.cost += req.cost[strong]
	return e.decider.Next(run, cascade.Outcome{Option: strong, Latency: req.latency[strong]}, strongDoneAt), strongDoneAt
}
