package cascade

import "time"

// RaterMode is what the decider makes of the rating service.
type RaterMode uint8

// The modes of the rating service.
const (
	// RaterHealthy: nearly every answer is rated in time.
	RaterHealthy RaterMode = iota
	// RaterPartial: many answers stay unrated.
	RaterPartial
	// RaterOut: no ratings come; the safe mode holds.
	RaterOut
)

// String returns the name of the mode.
func (m RaterMode) String() string {
	return [...]string{"healthy", "partial", "out"}[m]
}

const (
	raterGain = 1.0 / 32
	// partialBelow and healthyAbove are shares of answered requests.
	partialBelow = 0.8
	healthyAbove = 0.9
	// outAfterMisses is the number of unrated answers in a row that mean out.
	// At a share of 20% rated, 40 misses in a row happen once in 7,500 runs.
	outAfterMisses = 40
	// backAfterRatings is the number of ratings that end the safe mode.
	backAfterRatings = 3
	// silentAfter ends the trust in a rater that left every request since
	// unanswered, however few they were.
	silentAfter = 30 * time.Second
	// silentMisses is the least number of them.
	silentMisses = 5
)

// rater is the picture of the rating service.
type rater struct {
	mode    RaterMode
	share   float64
	misses  int
	back    int
	lastHit time.Time
	latency latency
}

func newRater() rater {
	return rater{share: 1}
}

// observe takes in whether an asked rating came, and returns whether the mode
// changed.
func (r *rater) observe(rated bool, took time.Duration, now time.Time) bool {
	before := r.mode
	if rated {
		r.hit(took, now)
	} else {
		r.miss(now)
	}
	return r.mode != before
}

func (r *rater) hit(took time.Duration, now time.Time) {
	r.share += (1 - r.share) * raterGain
	r.misses = 0
	r.lastHit = now
	r.latency.add(took)
	if r.mode == RaterOut {
		r.back++
		if r.back < backAfterRatings {
			return
		}
		r.mode = RaterPartial
	}
	if r.share >= healthyAbove {
		r.mode = RaterHealthy
	}
}

func (r *rater) miss(now time.Time) {
	r.share -= r.share * raterGain
	r.misses++
	r.back = 0
	if r.lastHit.IsZero() {
		r.lastHit = now
	}
	silent := r.misses >= silentMisses && now.Sub(r.lastHit) >= silentAfter
	switch {
	case r.misses >= outAfterMisses || silent:
		r.mode = RaterOut
	case r.mode == RaterHealthy && r.share < partialBelow:
		r.mode = RaterPartial
	}
}
