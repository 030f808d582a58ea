package limit

import "time"

// Outlook predicts when an answer begins if its request is sent now, to the upstream that
// can start it first.
type Outlook struct {
	// Wait is the time until the upstream has done the work before the request, and Work
	// the time from then to the beginning of the answer.
	Wait, Work time.Duration
	// TimeLeft is how long the caller waits.
	TimeLeft time.Duration
}

// Hopeless reports whether the answer cannot begin while the caller waits. Such a request
// is refused at once: it would only delay others, and its caller would learn of the
// refusal at the deadline.
//
// It answers a load under which each upstream has more prompts to read than fit into the
// caller's deadline, such as a burst of long prompts after some of the engines were lost.
func (o Outlook) Hopeless() bool { return o.Wait+o.Work > o.TimeLeft }

// maxSpread is the largest part by which SpreadReturn extends a time.
const maxSpread = 0.5

// SpreadReturn returns when a refused caller should come back, given the time after which
// there is room, as a random time up to half as long again. It is at most latest, the
// last time at which the caller can still come back. draw is uniform in [0, 1).
//
// It answers a load under which many callers are refused in the same moment, as after a
// kill of all VMs: with one time for all they would return together.
func SpreadReturn(room, latest time.Duration, draw float64) time.Duration {
	room = min(room, time.Duration(float64(latest)/(1+maxSpread)))
	return room + time.Duration(maxSpread*draw*float64(room))
}
