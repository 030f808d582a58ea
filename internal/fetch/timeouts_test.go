package fetch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	shortest = 400 * time.Millisecond
	longest  = 800 * time.Millisecond
	prompt   = 10 * time.Millisecond
	target   = "a"
)

// attempt records a request whose answer takes the given time, and returns whether it came in time.
func attempt(t *Timeouts, takes time.Duration) bool {
	if takes > t.of(target) {
		t.recordTimeout(target)
		return false
	}
	t.recordAnswer(target, 0, takes)
	return true
}

// TestSlowAnswersTimeOutOnce guards against a target that is given up at every other request, because
// its timeout is forgotten after each answer.
func TestSlowAnswersTimeOutOnce(t *testing.T) {
	g := NewWithT(t)
	timeouts := NewTimeouts(shortest, longest)
	failed := 0
	for range 50 {
		if !attempt(timeouts, 600*time.Millisecond) {
			failed++
		}
	}
	g.Expect(failed).To(Equal(1))
}

// TestTimeoutIsShortestAgainAfterAnswersInTime guards against a target that fails later being noticed
// late, because its answers were slow once.
func TestTimeoutIsShortestAgainAfterAnswersInTime(t *testing.T) {
	g := NewWithT(t)
	timeouts := NewTimeouts(shortest, longest)
	for range 50 {
		attempt(timeouts, 600*time.Millisecond)
	}
	answers := 0
	for ; timeouts.of(target) > shortest; answers++ {
		g.Expect(attempt(timeouts, prompt)).To(BeTrue())
	}
	g.Expect(answers).To(And(BeNumerically(">", 0), BeNumerically("<", 20)))
	g.Expect(timeouts.slow).To(BeEmpty())
}

// TestOneAnswerInTimeEndsDoubling covers a target that was silent and answers as before.
func TestOneAnswerInTimeEndsDoubling(t *testing.T) {
	g := NewWithT(t)
	timeouts := NewTimeouts(shortest, longest)
	for range 5 {
		timeouts.recordTimeout(target)
	}
	g.Expect(timeouts.of(target)).To(Equal(longest))
	g.Expect(timeouts.of("b")).To(Equal(shortest), "each target has a timeout of its own")
	timeouts.recordAnswer(target, 0, prompt)
	g.Expect(timeouts.of(target)).To(Equal(shortest))
}

// TestWaitOfPollIsNoTransferTime guards against long polls that are taken for a slow link.
func TestWaitOfPollIsNoTransferTime(t *testing.T) {
	g := NewWithT(t)
	timeouts := NewTimeouts(shortest, longest)
	for _, after := range []time.Duration{1500*time.Millisecond + prompt, 1400 * time.Millisecond, prompt} {
		timeouts.recordAnswer(target, 1500*time.Millisecond, after)
		g.Expect(timeouts.of(target)).To(Equal(shortest))
	}
}

// TestSlowTargetsAreBounded guards against memory that grows with each VM that was ever replaced.
func TestSlowTargetsAreBounded(t *testing.T) {
	g := NewWithT(t)
	timeouts := NewTimeouts(shortest, longest)
	for i := range 3 * maxSlowTargets {
		timeouts.recordTimeout(string(rune('a' + i)))
		g.Expect(len(timeouts.slow)).To(BeNumerically("<=", maxSlowTargets))
	}
}
