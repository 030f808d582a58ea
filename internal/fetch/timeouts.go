package fetch

import (
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// Timeouts adapts the timeouts of requests to how long the answers of each target have lately taken,
// as TCP does for its retransmissions (RFC 6298): the next request after a timeout may take twice as
// long, and later ones as long as answers take, with a margin. A target that answers in time has
// the shortest timeout. It is safe for concurrent use.
type Timeouts struct {
	shortest, longest time.Duration

	mu sync.Mutex
	// slow holds the targets that have a longer timeout than the shortest.
	slow map[string]estimate
}

const (
	// maxSlowTargets bounds the targets of which Timeouts remembers that they are slow.
	maxSlowTargets = 1024
	// smoothing is the inverse weight of a new answer in the smoothed transfer time and its
	// deviation, and deviations is the number of deviations that a timeout exceeds the mean by.
	smoothing, deviations = 4, 4
)

// NewTimeouts returns timeouts between the given ones. The longest must not be below the shortest.
func NewTimeouts(shortest, longest time.Duration) *Timeouts {
	return &Timeouts{shortest: shortest, longest: longest, slow: make(map[string]estimate)}
}

// Do is like the function Do for a request to a target that may delay its response by wait. The
// header timeout is the wait and the target's timeout, the idle timeout at least the latter.
func (t *Timeouts) Do(client *http.Client, req *http.Request, target string, wait time.Duration, l Limits) (Response, error) {
	timeout := t.of(target)
	l.HeaderTimeout, l.IdleTimeout = wait+timeout, max(l.IdleTimeout, timeout)
	resp, err := Do(client, req, l)
	switch {
	case err == nil:
		t.recordAnswer(target, wait, resp.HeaderTime)
	case errorx.IsOfType(err, ErrTimeout):
		t.recordTimeout(target)
	}
	return resp, err
}

// of returns the timeout of a target.
func (t *Timeouts) of(target string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clamp(t.slow[target])
}

func (t *Timeouts) clamp(e estimate) time.Duration {
	return min(max(e.timeout(), t.shortest)<<e.timeouts, t.longest)
}

// recordAnswer records that the header of an answer came after the given time.
func (t *Timeouts) recordAnswer(target string, wait, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.slow[target]
	e.timeouts = 0
	switch {
	case after > wait:
		e = e.add(after - wait)
	case after < e.mean:
		// How long the target waited is not known, but the transfer took no longer than all.
		e = e.add(after)
	}
	t.store(target, e)
}

// recordTimeout records that an answer didn't come within the timeout.
func (t *Timeouts) recordTimeout(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.slow[target]
	if t.clamp(e) < t.longest {
		e.timeouts++
	}
	t.store(target, e)
}

// store keeps the estimate of a target if it makes a difference. The caller holds mu.
func (t *Timeouts) store(target string, e estimate) {
	if t.clamp(e) <= t.shortest {
		delete(t.slow, target)
		return
	}
	if _, known := t.slow[target]; !known && len(t.slow) >= maxSlowTargets {
		clear(t.slow)
	}
	t.slow[target] = e
}

// estimate is how long the answers of a target take.
type estimate struct {
	// mean and deviation are those of the transfer times, smoothed; zero if unknown.
	mean, deviation time.Duration
	// timeouts is the number of times that the timeout was doubled since the last answer.
	timeouts int
}

// add returns the estimate after an answer whose transfer took the given time.
func (e estimate) add(took time.Duration) estimate {
	if e.mean == 0 {
		return estimate{mean: took, deviation: took / 2}
	}
	e.deviation += ((took - e.mean).Abs() - e.deviation) / smoothing
	e.mean += (took - e.mean) / smoothing
	return e
}

// timeout returns the time within which the next answer is expected.
func (e estimate) timeout() time.Duration { return e.mean + deviations*e.deviation }
