package experiment

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against results that stand under another scenario or policy than their own.
func TestCompareMeasuresEachPolicyInEachScenario(t *testing.T) {
	got := Compare([]string{"a", "b"}, []int{1, 2}, func(s string, p int) string { return s + string(rune('0'+p)) })
	NewWithT(t).Expect(got).To(Equal([]string{"a1", "a2", "b1", "b2"}))
}
