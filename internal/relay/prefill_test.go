package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestPrefillEstimateConvergesWithinTwelveSamples uses a model that takes 33 µs
// per effective token, which is about twice as much per token for very long
// prompts. After 12 samples of 12,000 tokens the estimate for 50,000 tokens must
// be within 20 %.
func TestPrefillEstimateConvergesWithinTwelveSamples(t *testing.T) {
	g := NewWithT(t)
	r := newPrefillEstimator()
	const perToken = 33 * time.Microsecond
	for range 12 {
		r.observe("m", 12_000, firstEventBase+time.Duration(effectiveTokens(12_000))*perToken)
	}
	want := time.Duration(effectiveTokens(50_000)) * perToken
	g.Expect(r.estimate("m", 50_000)).To(BeNumerically("~", want, want/5))
	g.Expect(r.estimate("m", 50_000)).To(BeNumerically(">", 5*r.estimate("m", 12_000)))
	g.Expect(r.estimate("m", 0)).To(Equal(noPromptWork))
}
