package route_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

// TestEqualCandidatesGetEqualShares guards against VMs that all send to the same upstream, as they
// know the same of it.
func TestEqualCandidatesGetEqualShares(t *testing.T) {
	g := NewWithT(t)
	policy := route.NewPolicy(route.Options{Sample: route.MaxSample, Scorers: []route.Scorer{route.DefaultSpreadScorer(), route.QueueScorer{}}})
	candidates := make(route.Slice, 20)
	for i := range candidates {
		candidates[i].Upstream = &upstream.Upstream{ID: upstream.ID(fmt.Sprint(i))}
		if i >= 10 {
			candidates[i].PricePerMB = 1
		}
	}
	candidates[9].FirstToken = time.Second
	served := make(map[upstream.ID]int)
	home := 0
	for draw := range uint64(90_000) {
		d, _ := policy.Select(&route.Request{Draw: draw}, candidates)
		served[d.Upstream.ID]++
		if d, _ = policy.Select(&route.Request{Draw: draw, Home: "0"}, candidates); d.Upstream.ID == "0" {
			home++
		}
	}
	g.Expect(served).To(HaveLen(9), "none in other regions, and not the loaded one")
	for id, n := range served {
		g.Expect(n).To(BeNumerically("~", 10_000, 400), "upstream %s", id)
	}
	g.Expect(home).To(BeNumerically(">", 87_000))
}
