package engines_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

// newTrialDirectory returns a directory with eight upstreams of each of two versions.
func newTrialDirectory() *engines.Directory {
	d, _ := newDirectory()
	var entries []engines.Entry
	for i := range 8 {
		for _, v := range []model.VersionID{"v1", "v2"} {
			e := newEntry(fmt.Sprintf("%s-%d", v, i), "d1")
			e.Version = v
			entries = append(entries, e)
		}
	}
	d.Replace(entries)
	return d
}

// usedInTrial returns the upstreams that get the requests of a trial with the given share, all of which go on.
func usedInTrial(d *engines.Directory, share float64, requests int) map[upstream.ID]int {
	used := make(map[upstream.ID]int)
	for i := range requests {
		choice := d.Choose(engines.Requirements{
			Service: "s", Draw: uint64(i), TrialShare: share, Allowed: func(v model.VersionID) bool { return v == "v2" },
		})
		choice.Engine.Begin(0)
		used[choice.Engine.ID()]++
	}
	return used
}

// TestTrialLoadsFewUpstreams guards against a version that is judged by its answers at idle upstreams.
func TestTrialLoadsFewUpstreams(t *testing.T) {
	g := NewWithT(t)
	used := usedInTrial(newTrialDirectory(), 0.15, 30)
	g.Expect(used).To(HaveLen(3))
	g.Expect(usedInTrial(newTrialDirectory(), 0.15, 30)).To(Equal(used), "all VMs choose the same ones")
	g.Expect(usedInTrial(newTrialDirectory(), 0.01, 30)).To(HaveLen(2), "one sick upstream does not stand for its version")
	g.Expect(usedInTrial(newTrialDirectory(), 1, 80)).To(HaveLen(8))
	g.Expect(usedInTrial(newTrialDirectory(), 0, 80)).To(HaveLen(8))
}

// TestTrialGoesOnWithoutItsUpstreams guards against requests of a trial that are refused although other upstreams take them.
func TestTrialGoesOnWithoutItsUpstreams(t *testing.T) {
	g := NewWithT(t)
	d := newTrialDirectory()
	for id := range usedInTrial(d, 0.15, 30) {
		find(d, id).MarkLeaving()
	}
	g.Expect(usedInTrial(d, 0.15, 30)).To(HaveLen(3))
	for _, e := range d.ForService("s") {
		e.MarkSilent()
	}
	g.Expect(usedInTrial(d, 0.15, 30)).NotTo(BeEmpty())
}
