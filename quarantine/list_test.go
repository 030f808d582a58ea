package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/quarantine"
)

var digester = quarantine.NewDigester("secret")

func entry(part string, since time.Duration) quarantine.Entry {
	return quarantine.Entry{Key: digester.Part(part), Since: since}
}

// Lists of VMs that learn the same entries in any order agree on what is kept out.
func TestMergedListsAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Entry {
			e := entry(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "part"), time.Duration(rapid.IntRange(1, 9).Draw(t, "since")))
			e.Probes = rapid.IntRange(0, 2).Draw(t, "probes")
			return e
		}), 1, 8).Draw(t, "entries")
		one, other := make(quarantine.List), make(quarantine.List)
		one.Merge(entries...)
		for _, i := range rapid.Permutation(indices(len(entries))).Draw(t, "order") {
			other.Merge(entries[i])
		}
		if fmt.Sprint(one.Entries()) != fmt.Sprint(other.Entries()) {
			t.Fatalf("%v and %v", one.Entries(), other.Entries())
		}
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

func TestLiftedEntryIsNotActiveUntilFoundAgain(t *testing.T) {
	g := NewWithT(t)
	l := make(quarantine.List)
	first := entry("a", 10)
	lifted := first
	lifted.LiftedAt = 20
	l.Merge(lifted, first)
	_, active := l.Active(first.Key)
	g.Expect(active).To(BeFalse())
	l.Merge(entry("a", 30))
	_, active = l.Active(first.Key)
	g.Expect(active).To(BeTrue())
}

func TestListKeepsNewestActiveEntries(t *testing.T) {
	g := NewWithT(t)
	l := make(quarantine.List)
	lifted := entry("lifted", 5000)
	lifted.LiftedAt = 6000
	l.Merge(lifted)
	for i := range 2 * quarantine.MaxEntries {
		l.Merge(entry(fmt.Sprint(i), time.Duration(i+1)))
	}
	g.Expect(l).To(HaveLen(quarantine.MaxEntries))
	g.Expect(l).NotTo(HaveKey(lifted.Key))
	g.Expect(l).To(HaveKey(digester.Part(fmt.Sprint(2*quarantine.MaxEntries - 1))))
}

// Of the three requests that may reach upstreams once a key is known, probes take two.
func TestProbesBecomeRarerAndEnd(t *testing.T) {
	g := NewWithT(t)
	e := entry("a", 10*time.Second)
	var waits []time.Duration
	for {
		next, ok := e.NextProbe()
		if !ok {
			break
		}
		waits = append(waits, next-max(e.Since, e.ProbedAt))
		g.Expect(e.RetryAfter(next - 3*time.Second)).To(Equal(3 * time.Second))
		e.Probes, e.ProbedAt = e.Probes+1, next
	}
	g.Expect(waits).To(Equal([]time.Duration{time.Minute, 8 * time.Minute}))
	g.Expect(e.RetryAfter(e.ProbedAt)).To(Equal(time.Hour))
}
