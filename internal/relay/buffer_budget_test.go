package relay

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

func TestBufferBudgetIsNeverExceeded(t *testing.T) {
	g := NewWithT(t)
	b := bufferBudget{limit: 1000}
	var wait sync.WaitGroup
	for range 20 {
		wait.Go(func() {
			for range 500 {
				if b.take(300) {
					g.Expect(b.used.Load()).To(BeNumerically("<", 1000+20*300))
					b.release(300)
				}
			}
		})
	}
	wait.Wait()
	g.Expect(b.used.Load()).To(BeZero())
	g.Expect(b.take(1000)).To(BeTrue())
	g.Expect(b.take(1)).To(BeFalse())
	b.release(1000)
	g.Expect(b.take(1)).To(BeTrue())
}
