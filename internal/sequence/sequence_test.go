package sequence_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/internal/sequence"
)

func TestSequence(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sequence")
}

var _ = Describe("Sequencer", func() {
	It("returns each piece of its attempt once and in order for any order of arrival", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const n = 40
			order := rapid.Permutation(indices(n)).Draw(t, "order")
			s := sequence.New("a", 0)
			var got []int
			for _, i := range order {
				for _, attempt := range []string{"b", "a", "a"} {
					ready, err := s.Accept(sequence.Piece{Attempt: attempt, Index: i, Data: "piece"})
					if err != nil {
						t.Fatal(err)
					}
					for _, p := range ready {
						got = append(got, p.Index)
					}
				}
			}
			if len(got) != n || !s.Contiguous() || s.BufferedBytes() != 0 || s.Dropped() != (sequence.Dropped{OtherAttempt: n, Duplicate: n}) {
				t.Fatalf("got %v, dropped %+v", got, s.Dropped())
			}
			for i, index := range got {
				if i != index {
					t.Fatalf("got piece %d at position %d", index, i)
				}
			}
		})
	})

	It("counts the bytes of pieces that wait for a missing one", func() {
		s := sequence.New("a", 0)
		for _, p := range []sequence.Piece{{Attempt: "a", Index: 2, Data: "1234"}, {Attempt: "a", Index: 1, Data: "12"}, {Attempt: "a", Index: 2, Data: "123"}} {
			_, err := s.Accept(p)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(s.BufferedBytes()).To(Equal(5))
	})

	It("rejects a piece too far ahead of the missing one", func() {
		s := sequence.New("a", 0)
		_, err := s.Accept(sequence.Piece{Attempt: "a", Index: 1 << 20})
		Expect(err).To(HaveOccurred())
	})
})

// indices returns the numbers from 0 to n-1.
func indices(n int) []int {
	result := make([]int, n)
	for i := range result {
		result[i] = i
	}
	return result
}
