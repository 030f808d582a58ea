package route

import "time"

// EndScorer gives a cost by when the answer is expected to end. It addresses upstreams of
// different speed: the time to the first event says little of the end of a long answer.
// Candidates of unknown pace cost nothing.
type EndScorer struct {
	// LengthWeight is the cost of one second by which the answer takes longer than on the
	// fastest candidate.
	LengthWeight float64
	// EndFrom is the fraction of the time left from which the expected end costs more. The
	// cost is DeadlineCost at the deadline.
	EndFrom      float64
	DeadlineCost time.Duration
	// PauseFrom is the fraction of the longest pause from which the expected gap costs more.
	// The cost is PauseCost if the expected gap is the longest pause.
	PauseFrom float64
	PauseCost time.Duration
}

const (
	// defaultLengthWeight is below 1 because most callers wait for the first event, and
	// because fast upstreams must not be filled before slow ones are used.
	defaultLengthWeight = 0.5
	defaultEndFrom      = 0.5
	defaultDeadlineCost = 2 * time.Second
	// defaultPauseFrom is low, as the longest of many gaps is several times the mean one.
	defaultPauseFrom = 0.2
	defaultPauseCost = 2 * time.Second
	// maxOverrun bounds the ratios of the expected end and gap to what is allowed, so that a
	// wrong estimate doesn't outweigh everything else.
	maxOverrun = 5
)

// DefaultEndScorer returns the scorer with its defaults.
func DefaultEndScorer() EndScorer {
	return EndScorer{
		LengthWeight: defaultLengthWeight, EndFrom: defaultEndFrom, DeadlineCost: defaultDeadlineCost,
		PauseFrom: defaultPauseFrom, PauseCost: defaultPauseCost,
	}
}

// Score implements Scorer.
func (e EndScorer) Score(r *Request, _ *SampleStats, c *Candidate) float64 {
	if c.AnswerEnd <= 0 {
		return 0
	}
	cost := e.LengthWeight * max(c.AnswerTime-r.FastestAnswer, 0).Seconds()
	cost += e.DeadlineCost.Seconds() * excess(c.AnswerEnd, r.TimeLeft, e.EndFrom)
	return cost + e.PauseCost.Seconds()*excess(c.EventGap, r.MaxPause, e.PauseFrom)
}

// excess returns 0 if value is at most the fraction from of the limit, 1 at the limit, and
// grows linearly. It is 0 without a limit.
func excess(value, limit time.Duration, from float64) float64 {
	if limit <= 0 {
		return 0
	}
	ratio := min(float64(value)/float64(limit), maxOverrun)
	return max(ratio-from, 0) / (1 - from)
}

// MemoryScorer keeps requests from upstreams whose memory they would fill. It is a cost and not
// a filter, because the use of the memory is an estimate and an upstream must be found.
type MemoryScorer struct {
	// From is the memory use from which the cost grows; it is Cost if the memory is full.
	From float64
	Cost time.Duration
}

const (
	defaultMemoryFrom = 0.8
	defaultMemoryCost = 5 * time.Second
)

// DefaultMemoryScorer returns the scorer with its defaults.
func DefaultMemoryScorer() MemoryScorer {
	return MemoryScorer{From: defaultMemoryFrom, Cost: defaultMemoryCost}
}

// Score implements Scorer.
func (m MemoryScorer) Score(_ *Request, _ *SampleStats, c *Candidate) float64 {
	return m.Cost.Seconds() * max(min(c.MemoryUse, maxOverrun)-m.From, 0) / (1 - m.From)
}
