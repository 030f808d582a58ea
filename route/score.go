package route

import (
	"time"

	"github.com/poplarshore/poplarshore/contract"
)

// SampleStats summarizes all candidates of one decision for the scorers.
type SampleStats struct {
	// MeanUtilization is the mean of the candidates' Utilization.
	MeanUtilization float64
}

// Scorer computes one component of a candidate's cost.
type Scorer interface {
	// Score returns the cost in seconds; lower is better.
	Score(r *Request, s *SampleStats, c *Candidate) float64
}

// Requests returns the estimated number of requests on the upstream, from this VM
// and from other senders.
func (c *Candidate) Requests() int { return c.InFlight + c.RemoteInFlight }

// Utilization returns requests divided by capacity; zero if the capacity is
// unknown. It exceeds 1 when requests are queued.
func (c *Candidate) Utilization() float64 {
	if c.Capacity == 0 {
		return 0
	}
	return float64(c.Requests()) / float64(c.Capacity)
}

// QueueScorer estimates the time to first token, without link latency and prefill.
// A request beyond the capacity waits in the queue for a share of the mean request
// duration. A request within the capacity is slowed down by the batch that it
// joins.
type QueueScorer struct {
	// DefaultDuration is the request duration assumed while the upstream's mean is
	// unknown.
	DefaultDuration time.Duration
	// BatchSlope is the fraction of the request duration that a full batch adds.
	BatchSlope float64
	// RemotePerLocal is the number of requests by other senders since the last
	// report that are assumed for each request by this VM since then.
	RemotePerLocal float64
}

// Score implements Scorer.
func (q QueueScorer) Score(_ *Request, _ *SampleStats, c *Candidate) float64 {
	duration := c.RequestDuration
	if duration == 0 {
		duration = q.DefaultDuration
	}
	capacity := float64(max(c.Capacity, 1))
	requests := float64(c.Requests()) + q.RemotePerLocal*float64(max(c.InFlightSinceReport, 0))
	utilization := min(requests/capacity, 1) * q.BatchSlope
	queued := max(requests+1-capacity, 0) / capacity
	return c.FirstToken.Seconds() + duration.Seconds()*(utilization+queued)
}

// PrefillScorer estimates the time to prefill the part of the prompt that is not
// cached. Candidates whose utilization exceeds Bound × the sample's mean by more
// than Slack get no credit for their cache, so that a popular prefix spreads over
// several upstreams.
type PrefillScorer struct {
	// PerToken is the time to prefill one prompt token.
	PerToken time.Duration
	// Bound is a multiple of the mean utilization of the sample.
	Bound float64
	// Slack is a utilization, as a fraction of the capacity.
	Slack float64
	// HomeCredit is the cost reduction for the home upstream while none of the prompt is known to be
	// cached on it, as a fraction of the full prefill time.
	HomeCredit float64
}

// Score implements Scorer.
func (p PrefillScorer) Score(r *Request, s *SampleStats, c *Candidate) float64 {
	fullPrefill := float64(r.PromptTokens) * p.PerToken.Seconds()
	if c.Utilization() > p.Bound*s.MeanUtilization+p.Slack && c.Utilization() > 0 {
		return fullPrefill
	}
	cached := min(c.CachedBlocks*BlockBytes/BytesPerToken, r.PromptTokens)
	cost := fullPrefill - float64(cached)*p.PerToken.Seconds()
	if cached == 0 && r.Home != "" && c.Upstream.ID == r.Home {
		cost -= fullPrefill * p.HomeCredit
	}
	return cost
}

// LinkScorer gives the round-trip time to the upstream's region.
type LinkScorer struct{}

// Score implements Scorer.
func (LinkScorer) Score(_ *Request, _ *SampleStats, c *Candidate) float64 {
	return 2 * c.LinkLatency.Seconds()
}

// PriceScorer converts the price of traffic between regions to seconds.
type PriceScorer struct {
	// MicrosPerSecond is the price in micros that equals one second of latency for
	// a contract with equal weights for cost and latency.
	MicrosPerSecond float64
}

const bytesPerMB = 1e6

// Score implements Scorer.
func (p PriceScorer) Score(r *Request, _ *SampleStats, c *Candidate) float64 {
	if c.PricePerMB == 0 {
		return 0
	}
	micros := float64(c.PricePerMB) * float64(r.Bytes) / bytesPerMB
	return micros / p.MicrosPerSecond * costWeight(r.Weights)
}

// maxCostWeight bounds costWeight, which is unbounded for small latency weights.
const maxCostWeight = 1000

// costWeight returns the contract's weight of cost relative to latency; 1 if the
// contract sets neither.
func costWeight(w contract.Weights) float64 {
	if w.Cost == 0 && w.Latency == 0 {
		return 1
	}
	if w.Latency <= 0 {
		return maxCostWeight
	}
	return min(w.Cost/w.Latency, maxCostWeight)
}

// ModelLoadScorer gives the time to load a version that is not in the engine's
// memory.
type ModelLoadScorer struct {
	// LoadTime is the time to load a version.
	LoadTime time.Duration
}

// Score implements Scorer.
func (l ModelLoadScorer) Score(_ *Request, _ *SampleStats, c *Candidate) float64 {
	if c.Loaded {
		return 0
	}
	return l.LoadTime.Seconds()
}

// StaleReportScorer makes upstreams whose last report is older than MaxReportAge a
// last resort. They are not refused, because the fault may lie in the reporting.
// Upstreams without any report get no penalty.
type StaleReportScorer struct {
	MaxReportAge time.Duration
	// Penalty is the cost added for a stale report.
	Penalty time.Duration
}

// Score implements Scorer.
func (s StaleReportScorer) Score(_ *Request, _ *SampleStats, c *Candidate) float64 {
	if c.ReportAge <= s.MaxReportAge {
		return 0
	}
	return s.Penalty.Seconds()
}
