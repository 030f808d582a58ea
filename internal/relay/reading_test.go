package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestReadingIsLearntFromFewAnswers feeds the times of a model that takes 33
// microseconds a token, twice as much for very long prompts.
func TestReadingIsLearntFromFewAnswers(t *testing.T) {
	g := NewWithT(t)
	r := newReading()
	const perToken = 33 * time.Microsecond
	for range 12 {
		r.add("m", 12_000, headBase+time.Duration(weight(12_000))*perToken)
	}
	want := time.Duration(weight(50_000)) * perToken
	g.Expect(r.estimate("m", 50_000)).To(BeNumerically("~", want, want/5))
	g.Expect(r.estimate("m", 50_000)).To(BeNumerically(">", 5*r.estimate("m", 12_000)))
	g.Expect(r.estimate("m", 0)).To(Equal(serviceWork))
}
