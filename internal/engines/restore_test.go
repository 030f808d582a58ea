package engines_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/engines"
)

// incarnation is the start time of the upstreams in these tests.
const incarnation = 1000

func newIncarnation(id string) engines.Entry {
	e := newEntry(id, "d1")
	e.Incarnation = incarnation
	return e
}

// TestLeavingUpstreamStaysLeavingWhenOlderEntryReturns covers an entry that shows an
// upstream as ready again, because the store was restored from a copy that is older
// than the report that the upstream is leaving.
func TestLeavingUpstreamStaysLeavingWhenOlderEntryReturns(t *testing.T) {
	g := NewWithT(t)
	d, _ := newDirectory()
	leaving := newIncarnation("a")
	leaving.Leaving = true
	d.Replace([]engines.Entry{leaving, newIncarnation("b")})
	d.Restore([]engines.Entry{newIncarnation("a"), newIncarnation("b")})
	for range 20 {
		g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("b"))
	}
	restarted := newIncarnation("a")
	restarted.Incarnation++
	d.Put(restarted)
	find(d, "b").MarkLeaving()
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("a"))
}

// TestSelfReportedLeavingOutlastsEntry covers an upstream that reports in its answers
// that it is leaving, while its entry still says that it is ready.
func TestSelfReportedLeavingOutlastsEntry(t *testing.T) {
	g := NewWithT(t)
	d, _ := newDirectory()
	d.Replace([]engines.Entry{newIncarnation("a")})
	find(d, "a").MarkLeaving()
	d.Put(newIncarnation("a"))
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEmpty())
	d.Remove("a")
	d.Put(newIncarnation("a"))
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEmpty(), "an incarnation that left does not return")
}

// TestRestoredEntryOfRemovedUpstreamIsWithheld covers an upstream that was removed
// without a report that it is leaving, and that an older copy of the store lists again.
func TestRestoredEntryOfRemovedUpstreamIsWithheld(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	entries := []engines.Entry{newIncarnation("a"), newIncarnation("b"), newIncarnation("c")}
	d.Replace(entries)
	d.Remove("a")
	d.Remove("b")
	d.Remove("c")
	d.Restore(entries)
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEmpty())
	d.Put(newIncarnation("b"))
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("b"), "a changed entry shows that the upstream lives")
	d.Remove("c")
	d.Remove("b")
	clock.Advance(7 * time.Second)
	d.ExpireLapsed()
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("a"), "an entry that is kept up is used")
	g.Expect(find(d, "c")).To(BeNil())
}

// TestEntriesMissingAfterRestoreAreKeptForReregistration covers upstreams that
// registered after the copy was made from which the store was restored.
func TestEntriesMissingAfterRestoreAreKeptForReregistration(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newIncarnation("a"), newIncarnation("b")})
	d.Restore(nil)
	g.Expect(chooseID(d, engines.Requirements{})).NotTo(BeEmpty())
	d.Put(newIncarnation("b"))
	clock.Advance(3 * time.Second)
	d.ExpireLapsed()
	g.Expect(find(d, "a")).To(BeNil())
	g.Expect(find(d, "b")).NotTo(BeNil())
}

// TestPausedUpstreamGetsNothingUntilPauseEnds covers a pause that an upstream asked for,
// also while it is the only one, and a shorter pause during a longer one.
func TestPausedUpstreamGetsNothingUntilPauseEnds(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("a", "d1"), newEntry("b", "d1")})
	find(d, "a").Pause(4 * time.Second)
	find(d, "a").Pause(time.Second)
	for range 20 {
		g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("b"))
	}
	find(d, "b").Pause(3 * time.Second)
	clock.Advance(time.Second)
	choice := d.Choose(engines.Requirements{Service: "s"})
	g.Expect(choice.Engine).To(BeNil())
	g.Expect(choice.PauseLeft).To(Equal(2 * time.Second))
	clock.Advance(2 * time.Second)
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("b"))
	clock.Advance(time.Second)
	find(d, "b").Pause(time.Second)
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("a"))
}

// TestLongPauseIsKept guards against requests to an upstream before the time at which it asked to be asked again.
func TestLongPauseIsKept(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{newEntry("a", "d1")})
	find(d, "a").Pause(75 * time.Second)
	clock.Advance(74 * time.Second)
	choice := d.Choose(engines.Requirements{Service: "s"})
	g.Expect(choice.Engine).To(BeNil())
	g.Expect(choice.PauseLeft).To(Equal(time.Second))
	clock.Advance(time.Second)
	g.Expect(chooseID(d, engines.Requirements{})).To(BeEquivalentTo("a"))
}
