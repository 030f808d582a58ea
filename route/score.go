package route

import (
	"time"

	"github.com/poplarshore/poplarshore/contract"
)

// Sample is what scorers may know about all candidates of one decision.
type Sample struct {
	// MeanUse is the mean of requests over capacity.
	MeanUse float64
}

// Scorer adds one part of a candidate's cost, in seconds. Lower is better.
type Scorer interface {
	Score(r *Request, s *Sample, c *Candidate) float64
}

// Requests returns the requests believed to be on the upstream.
func (c *Candidate) Requests() int { return c.InFlight + c.Others }

// Use returns requests over capacity; zero if the capacity is unknown.
func (c *Candidate) Use() float64 {
	if c.Capacity == 0 {
		return 0
	}
	return float64(c.Requests()) / float64(c.Capacity)
}

// QueueScorer estimates the time to the first token, without link and prefill.
// A request beyond the capacity waits for its part of the mean holding time; a
// request within it is slowed down by the batch that it joins.
type QueueScorer struct {
	// Hold stands in for an unknown holding time.
	Hold time.Duration
	// BatchSlope is the part of the holding time that a full batch adds.
	BatchSlope float64
	// Echo is the number of other senders' recent requests assumed for each
	// own one since the report.
	Echo float64
}

// Score implements Scorer.
func (q QueueScorer) Score(_ *Request, _ *Sample, c *Candidate) float64 {
	hold := c.Hold
	if hold == 0 {
		hold = q.Hold
	}
	capacity := float64(max(c.Capacity, 1))
	requests := float64(c.Requests()) + q.Echo*float64(max(c.Recent, 0))
	use := min(requests/capacity, 1) * q.BatchSlope
	queued := max(requests+1-capacity, 0) / capacity
	return c.FirstToken.Seconds() + hold.Seconds()*(use+queued)
}

// PrefillScorer is the time to read the part of the prompt that is not cached.
// Candidates whose use exceeds Bound × the sample's mean by more than Slack get
// no credit for their cache, so that a popular prefix spreads.
type PrefillScorer struct {
	PerToken time.Duration
	Bound    float64
	// Slack is a part of the capacity.
	Slack float64
	// Home is the credit of the home upstream, as a part of the prefill.
	Home float64
}

// Score implements Scorer.
func (p PrefillScorer) Score(r *Request, s *Sample, c *Candidate) float64 {
	whole := float64(r.PromptTokens) * p.PerToken.Seconds()
	if c.Use() > p.Bound*s.MeanUse+p.Slack && c.Use() > 0 {
		return whole
	}
	cached := min(c.Blocks*BlockBytes/BytesPerToken, r.PromptTokens)
	cost := whole - float64(cached)*p.PerToken.Seconds()
	if cached == 0 && r.Home != "" && c.Upstream.ID == r.Home {
		cost -= whole * p.Home
	}
	return cost
}

// LinkScorer is the round trip to the upstream's region.
type LinkScorer struct{}

// Score implements Scorer.
func (LinkScorer) Score(_ *Request, _ *Sample, c *Candidate) float64 {
	return 2 * c.LinkLatency.Seconds()
}

// PriceScorer turns the billed volume of a crossing into seconds.
type PriceScorer struct {
	// MicrosPerSecond is what a second of waiting is worth, in micros, to a
	// contract with equal weights for cost and latency.
	MicrosPerSecond float64
}

const bytesPerMB = 1e6

// Score implements Scorer.
func (p PriceScorer) Score(r *Request, _ *Sample, c *Candidate) float64 {
	if c.PricePerMB == 0 {
		return 0
	}
	micros := float64(c.PricePerMB) * float64(r.Bytes) / bytesPerMB
	return micros / p.MicrosPerSecond * exchange(r.Weights)
}

const maxExchange = 1000

// exchange returns how much more cost matters than latency.
func exchange(w contract.Weights) float64 {
	if w.Cost == 0 && w.Latency == 0 {
		return 1
	}
	if w.Latency <= 0 {
		return maxExchange
	}
	return min(w.Cost/w.Latency, maxExchange)
}

// LoadScorer is the time to load a version that is not in memory.
type LoadScorer struct {
	Loading time.Duration
}

// Score implements Scorer.
func (l LoadScorer) Score(_ *Request, _ *Sample, c *Candidate) float64 {
	if c.Loaded {
		return 0
	}
	return l.Loading.Seconds()
}

// SilentScorer makes upstreams whose report is older than After a last resort.
// They are not refused, because the reports may be at fault.
type SilentScorer struct {
	After time.Duration
	Cost  time.Duration
}

// Score implements Scorer.
func (s SilentScorer) Score(_ *Request, _ *Sample, c *Candidate) float64 {
	if c.ReportAge <= s.After {
		return 0
	}
	return s.Cost.Seconds()
}
