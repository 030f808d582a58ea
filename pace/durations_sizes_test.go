package pace_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/pace"
)

// TestDurationOfLongAnswersIsNotThatOfShortOnes guards against long requests that a planned stop refuses
// though its grace could hold them: the time to the first event of short answers was scaled by their length.
func TestDurationOfLongAnswersIsNotThatOfShortOnes(t *testing.T) {
	g := NewWithT(t)
	var d pace.Durations
	now := time.Now()
	for range 50 {
		// One second to the first event, and 10 ms for each event.
		d.Observe("chat", 10, 1100*time.Millisecond, now)
		d.Observe("chat", 300, 4*time.Second, now)
	}
	expected, known := d.Expect("chat", 300, now)
	g.Expect(known).To(BeTrue())
	g.Expect(expected).To(BeNumerically("~", 4*time.Second, 2*time.Second))
	expected, known = d.Expect("chat", 10, now)
	g.Expect(known).To(BeTrue())
	g.Expect(expected).To(BeNumerically("~", 1100*time.Millisecond, 300*time.Millisecond))
}
