package cascade

import "time"

// RaterMode is the availability of the rating service as seen by a Decider.
type RaterMode uint8

// The modes of the rating service.
const (
	// RaterHealthy means that nearly all requested ratings arrive in time.
	RaterHealthy RaterMode = iota
	// RaterPartial means that many requested ratings do not arrive.
	RaterPartial
	// RaterUnavailable means that no ratings arrive and safe mode applies.
	RaterUnavailable
)

// String returns the name of the mode.
func (m RaterMode) String() string {
	return [...]string{"healthy", "partial", "out"}[m]
}

const (
	// ratedShareSmoothing is the weight of a new request in the moving average
	// of the share of requested ratings that arrive.
	ratedShareSmoothing = 1.0 / 32
	// The mode becomes partial if that average is below partialBelowShare, and
	// healthy again if it is at least healthyFromShare.
	partialBelowShare = 0.8
	healthyFromShare  = 0.9
	// outAfterMisses is the number of consecutive missing ratings after which
	// the service counts as unavailable. If 20% of the ratings arrive, the
	// probability of 40 missing ones in a row is 1 in 7,500.
	outAfterMisses = 40
	// recoverAfterRatings is the number of consecutive ratings that end safe
	// mode.
	recoverAfterRatings = 3
	// maxRaterSilence is the time without any rating after which the service
	// counts as unavailable even if fewer than outAfterMisses are missing.
	maxRaterSilence = 30 * time.Second
	// minSilentMisses is the minimum number of missing ratings for that.
	minSilentMisses = 5
)

// raterMonitor tracks the availability and latency of the rating service.
type raterMonitor struct {
	mode              RaterMode
	ratedShare        float64
	consecutiveMisses int
	recoveryRatings   int
	lastRatingAt      time.Time
	latency           latencyEstimate
}

func newRaterMonitor() raterMonitor {
	return raterMonitor{ratedShare: 1}
}

// observe records whether a requested rating arrived and returns whether the
// mode changed.
func (r *raterMonitor) observe(rated bool, ratingLatency time.Duration, now time.Time) bool {
	previous := r.mode
	if rated {
		r.observeRating(ratingLatency, now)
	} else {
		r.observeMiss(now)
	}
	return r.mode != previous
}

func (r *raterMonitor) observeRating(ratingLatency time.Duration, now time.Time) {
	r.ratedShare += (1 - r.ratedShare) * ratedShareSmoothing
	r.consecutiveMisses = 0
	r.lastRatingAt = now
	r.latency.add(ratingLatency)
	if r.mode == RaterUnavailable {
		r.recoveryRatings++
		if r.recoveryRatings < recoverAfterRatings {
			return
		}
		r.mode = RaterPartial
	}
	if r.ratedShare >= healthyFromShare {
		r.mode = RaterHealthy
	}
}

func (r *raterMonitor) observeMiss(now time.Time) {
	r.ratedShare -= r.ratedShare * ratedShareSmoothing
	r.consecutiveMisses++
	r.recoveryRatings = 0
	if r.lastRatingAt.IsZero() {
		r.lastRatingAt = now
	}
	silentTooLong := r.consecutiveMisses >= minSilentMisses && now.Sub(r.lastRatingAt) >= maxRaterSilence
	switch {
	case r.consecutiveMisses >= outAfterMisses || silentTooLong:
		r.mode = RaterUnavailable
	case r.mode == RaterHealthy && r.ratedShare < partialBelowShare:
		r.mode = RaterPartial
	}
}
