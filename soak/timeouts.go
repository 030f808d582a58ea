package soak

import "time"

const (
	// finalAnswerSlack is how long after the timeout of its route a request may wait for its answer.
	finalAnswerSlack = 500 * time.Millisecond
	// Of the requests that reach the timeout, minLate or more and more than one in lateIn may not be answered later.
	minLate = 8
	lateIn  = 4
)

// checkTimeouts checks that orders that last longer than the timeout of their route get their final answer soon after it, at
// VMs in touch.
func (c *checker) checkTimeouts() {
	reached, late := 0, 0
	for _, x := range c.exchanges {
		if x.kind != orderRequest || !x.wholeAt.IsZero() || x.doneAt.Sub(x.sentAt) <= callTimeout || !c.inTouch(x) {
			continue
		}
		reached++
		if c.exceeds(callTimeout+finalAnswerSlack, x.sentAt, x.doneAt) {
			late++
		}
	}
	if late >= minLate && late*lateIn > reached {
		c.addViolation("%d of %d orders that reached the timeout of their route had no answer %s later", late, reached, finalAnswerSlack)
	}
}
