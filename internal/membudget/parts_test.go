package membudget_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/membudget"
)

const (
	// smallestVMMB is the memory of the smallest VM of the users, and largestAnswerBytes the largest answer that is kept.
	smallestVMMB       = 112
	largestAnswerBytes = 8 << 20
)

// The largest answer of a sound upstream must fit into its share on the smallest VM, and what is kept for others must
// leave most of the memory for all else.
func TestPartsOfSmallVMHoldLargestAnswer(t *testing.T) {
	g := NewWithT(t)
	parts := membudget.PartsOf(smallestVMMB)
	buffer := membudget.NewBuffer(membudget.New(parts.Kept).Reserve(upstreamOf("s", 0)...), largestAnswerBytes)
	for part := make([]byte, partBytes); buffer.Len()+len(part) <= largestAnswerBytes; {
		g.Expect(buffer.Append(part)).To(Succeed())
	}
	g.Expect(parts.Kept + int64(parts.Waiting)).To(BeNumerically("<", smallestVMMB<<20/3))
}
