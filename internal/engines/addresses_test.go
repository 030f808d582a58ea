package engines_test

import (
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/upstream"
)

// entryAt returns an entry with an address.
func entryAt(id, address string) engines.Entry {
	e := newEntry(id, "d1")
	e.Address = address
	return e
}

// usedIDs returns the IDs of the upstreams that are in use.
func usedIDs(d *engines.Directory) []upstream.ID {
	var ids []upstream.ID
	for _, e := range d.ForService("s") {
		ids = append(ids, e.ID())
	}
	return ids
}

// TestEntryWithAddressOfAnsweringUpstreamIsNotUsed guards against requests that are sent to the address
// of a sound upstream under another ID, which answers 421 each time.
func TestEntryWithAddressOfAnsweringUpstreamIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{entryAt("sound", "10.0.0.1:80"), entryAt("far", "10.0.0.2:80")})
	sound := find(d, "sound")
	sound.MarkAnswered()
	clock.Advance(500 * time.Millisecond)
	d.Put(entryAt("odd", "10.0.0.1:80"))
	g.Expect(usedIDs(d)).To(ConsistOf(upstream.ID("sound"), upstream.ID("far")))
	g.Expect(sound.TakesRequests()).To(BeTrue())
	d.Remove("sound")
	g.Expect(usedIDs(d)).To(ConsistOf(upstream.ID("odd"), upstream.ID("far")))
}

// TestAddressThatIsAssignedAgainServesItsNewUpstream guards against a new upstream that gets nothing, and
// an ended one that gets requests, while the entries of both are there.
func TestAddressThatIsAssignedAgainServesItsNewUpstream(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{entryAt("ended", "10.0.0.1:80")})
	ended := find(d, "ended")
	ended.MarkAnswered()
	clock.Advance(2 * time.Second)
	d.Put(entryAt("next", "10.0.0.1:80"))
	g.Expect(usedIDs(d)).To(ConsistOf(upstream.ID("ended"), upstream.ID("next")), "it isn't known which one answers")
	clock.Advance(time.Millisecond)
	find(d, "next").MarkAnswered()
	g.Expect(usedIDs(d)).To(ConsistOf(upstream.ID("next")))
	g.Expect(ended.TakesRequests()).To(BeFalse())
}

// TestMisdirectedEntryYieldsToOthersAtItsAddress guards against a sound upstream that is never used again
// because it, too, answered a request with 421.
func TestMisdirectedEntryYieldsToOthersAtItsAddress(t *testing.T) {
	g := NewWithT(t)
	d, clock := newDirectory()
	d.Replace([]engines.Entry{entryAt("a", "10.0.0.1:80"), entryAt("b", "10.0.0.1:80")})
	g.Expect(usedIDs(d)).To(HaveLen(2))
	a, b := find(d, "a"), find(d, "b")
	for range 3 {
		clock.Advance(time.Millisecond)
		a.MarkMisdirected()
		g.Expect(usedIDs(d)).To(ConsistOf(upstream.ID("b")))
		clock.Advance(time.Millisecond)
		b.MarkMisdirected()
		g.Expect(usedIDs(d)).To(ConsistOf(upstream.ID("a")))
	}
	d.Remove("b")
	g.Expect(usedIDs(d)).To(ConsistOf(upstream.ID("a")), "a single entry is used whatever it answers")
}

// TestConnectionsStayOpenWhileAnotherEntryHasTheAddress guards against a sound upstream whose connections are
// closed each time an odd entry with its address is removed.
func TestConnectionsStayOpenWhileAnotherEntryHasTheAddress(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	options := pacedOptions(clock, 0, 1, false)
	var closed []string
	options.OnRemove = func(address string) { closed = append(closed, address) }
	d := engines.New(options, clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
	d.Replace([]engines.Entry{entryAt("sound", "10.0.0.1:80"), entryAt("odd", "10.0.0.1:80")})
	d.Remove("odd")
	g.Expect(closed).To(BeEmpty())
	d.Remove("sound")
	g.Expect(closed).To(Equal([]string{"10.0.0.1:80"}))
}

// TestEntryWithAddressOfAVMIsNotUsed guards against requests that VMs pass round and round.
func TestEntryWithAddressOfAVMIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	known := false
	clock := clockwork.NewFakeClock()
	options := pacedOptions(clock, 0, 1, false)
	options.IsVM = func(a netip.AddrPort) bool { return known && a == netip.MustParseAddrPort("10.0.0.9:80") }
	d := engines.New(options, clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
	d.Replace([]engines.Entry{entryAt("vm", "10.0.0.9:80"), entryAt("other-port", "10.0.0.9:81")})
	chosen := find(d, "vm")
	known = true
	d.RefreshAddresses()
	g.Expect(usedIDs(d)).To(ConsistOf(upstream.ID("other-port")))
	g.Expect(chosen.Begin(0)).To(BeNil())
	g.Expect(d.Counts()).To(HaveKeyWithValue([2]string{"s", "excluded"}, 1))
	g.Expect(d.Slots("s")).To(Equal(10))
	known = false
	d.RefreshAddresses()
	g.Expect(usedIDs(d)).To(HaveLen(2))
}

// TestAnyEntriesAtOneAddressLeaveOneInUse guards against an address that no request reaches, whatever came
// from it and in which order its entries appeared.
func TestAnyEntriesAtOneAddressLeaveOneInUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, clock := newDirectory()
		d.Replace(nil)
		ids := []string{"a", "b", "c"}
		pick := func(t *rapid.T) string { return rapid.SampledFrom(ids).Draw(t, "id") }
		registered := make(map[string]bool)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				id := pick(t)
				d.Put(entryAt(id, "10.0.0.1:80"))
				registered[id] = true
			},
			"remove": func(t *rapid.T) {
				id := pick(t)
				d.Remove(upstream.ID(id))
				delete(registered, id)
			},
			"answer": func(t *rapid.T) {
				if e := find(d, upstream.ID(pick(t))); e != nil {
					e.MarkAnswered()
				}
			},
			"misdirect": func(t *rapid.T) {
				if e := find(d, upstream.ID(pick(t))); e != nil {
					e.MarkMisdirected()
				}
			},
			"wait": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				used := usedIDs(d)
				if len(registered) > 0 && len(used) == 0 || len(used) > len(registered) {
					t.Fatalf("registered %v, used %v", registered, used)
				}
			},
		})
	})
}
