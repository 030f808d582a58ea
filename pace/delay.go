package pace

import (
	"math"
	"time"
)

const (
	// delayHalfLife is the time in which an observed delay halves.
	delayHalfLife = 4 * time.Second
	// delayWeight is the weight of the newest delay.
	delayWeight = 0.5
)

// Delay estimates how long answers of an upstream begin later than its known work explains: for
// requests of others that wait there, of which reports come late or never. It fades to 0. The zero
// value has no samples. It is not safe for concurrent use.
type Delay struct {
	value time.Duration
	at    time.Time
}

// Observe records by how much later than expected an answer began; negative if it was earlier.
func (d *Delay) Observe(late time.Duration, now time.Time) {
	late = max(late, 0)
	current := d.Value(now)
	d.value, d.at = current+time.Duration(delayWeight*float64(late-current)), now
}

// Value returns the estimate.
func (d *Delay) Value(now time.Time) time.Duration {
	if d.value == 0 {
		return 0
	}
	return time.Duration(float64(d.value) * math.Exp2(-float64(max(now.Sub(d.at), 0))/float64(delayHalfLife)))
}
