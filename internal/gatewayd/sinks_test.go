package gatewayd

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/platform/standin/entry"
	"github.com/poplarshore/poplarshore/settings"
)

// TestUpstreamMissingAfterOutageIsKeptUnlessOutageWasLocal guards against requests to upstreams that left
// while only this VM could not read the store, and against the loss of upstreams whose entries
// expired during an outage of the store.
func TestUpstreamMissingAfterOutageIsKeptUnlessOutageWasLocal(t *testing.T) {
	for local, want := range map[bool]int{true: 0, false: 1} {
		g := NewWithT(t)
		s := settings.DefaultGateway()
		s.VM = settings.VM{ID: "vm-1", Domain: "d1", Region: "r1"}
		s.Regions = map[domain.ID]domain.Region{"d1": "r1"}
		d := New(s, io.Discard, clockwork.NewFakeClock())
		sink := d.upstreamSink
		row := watch.Row{Key: "u", Value: []byte(entry.Text("s", "127.0.0.1:1", "d1", "1"))}
		sink.Reset(watch.Batch{Rows: []watch.Row{row}})
		g.Expect(d.directory.ForService("s")).To(HaveLen(1))

		sink.StoreUnavailable(errors.New("no response"))
		sink.StoreAvailable(watch.Outage{Duration: 5 * time.Second, Local: local})
		sink.Change(watch.Batch{Rows: []watch.Row{{Key: "u", Deleted: true}}})
		g.Expect(d.directory.ForService("s")).To(HaveLen(want), "local: %v", local)
	}
}

// newEntriesDaemon returns a daemon that has not been started, with one failure domain.
func newEntriesDaemon(out io.Writer) (*Daemon, *clockwork.FakeClock) {
	s := settings.DefaultGateway()
	s.VM = settings.VM{ID: "vm-1", Domain: "d1", Region: "r1"}
	s.Regions = map[domain.ID]domain.Region{"d1": "r1"}
	clock := clockwork.NewFakeClock()
	return New(s, out, clock), clock
}

// entryRow returns the row of an upstream, valid for the failure domain d1.
func entryRow(id, failureDomain, address string, revision watch.Revision) watch.Row {
	return watch.Row{Key: id, Revision: revision, Value: []byte(entry.Text("s", address, failureDomain, "1"))}
}

// TestUpstreamWithOverwrittenEntryIsNotUsedUntilItsEntryIsBack guards against requests to an upstream
// that may be gone, and against a sound one that is limited like a new one when its entry is back.
func TestUpstreamWithOverwrittenEntryIsNotUsedUntilItsEntryIsBack(t *testing.T) {
	g := NewWithT(t)
	d, clock := newEntriesDaemon(io.Discard)
	sink := d.upstreamSink
	sink.Reset(watch.Batch{Rows: []watch.Row{entryRow("u", "d1", "10.0.0.1:80", 1), entryRow("other", "d1", "10.0.0.2:80", 2)}})
	known := d.directory.ForService("s")
	g.Expect(known).To(HaveLen(2))
	sink.StoreUnavailable(errors.New("no response"))
	sink.StoreAvailable(watch.Outage{})
	sink.Change(watch.Batch{Rows: []watch.Row{{Key: "u", Revision: 3, Value: []byte(`{"Phase":"odd"}`)}}})
	left := d.directory.ForService("s")
	g.Expect(left).To(HaveLen(1))
	g.Expect(left[0].ID()).To(BeEquivalentTo("other"), "the others hold")

	clock.Advance(5 * time.Second)
	d.directory.ExpireLapsed()
	sink.Change(watch.Batch{Rows: []watch.Row{entryRow("u", "d1", "10.0.0.1:80", 4)}})
	g.Expect(d.directory.ForService("s")).To(ConsistOf(known[0], known[1]), "what is known of the upstream is kept")
	for _, e := range known {
		g.Expect(e.TakesRequests()).To(BeTrue())
	}
	sink.Reset(watch.Batch{Rows: []watch.Row{entryRow("u", "d1", "10.0.0.1:http", 5)}})
	g.Expect(known[0].TakesRequests() || known[1].TakesRequests() && known[1].ID() == "u").To(BeFalse())
}

// counterSum returns the sum of a counter over its labels.
func counterSum(g *WithT, d *Daemon, name string) float64 {
	families, err := d.registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	sum := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			sum += metric.GetCounter().GetValue()
		}
	}
	return sum
}

// TestInvalidEntryIsReportedOncePerChange guards against an odd entry that floods the log, and
// against one that is used although its failure domain is unknown.
func TestInvalidEntryIsReportedOncePerChange(t *testing.T) {
	g := NewWithT(t)
	d, _ := newEntriesDaemon(io.Discard)
	sink := d.upstreamSink
	var lines bytes.Buffer
	sink.log = slog.New(slog.NewTextHandler(&lines, nil))
	reports := func() int {
		g.Expect(counterSum(g, d, "poplarshore_upstream_entries_invalid_total")).To(BeNumerically("==", strings.Count(lines.String(), "invalid upstream entry")))
		return strings.Count(lines.String(), "invalid upstream entry")
	}
	odd, sound := entryRow("odd", "elsewhere", "10.0.0.1:80", 1), entryRow("u", "d1", "10.0.0.2:80", 2)
	for range 3 {
		sink.Reset(watch.Batch{Rows: []watch.Row{odd, sound}})
	}
	g.Expect(d.directory.ForService("s")).To(HaveLen(1))
	g.Expect(reports()).To(Equal(1))
	odd.Revision, odd.Value = 3, []byte("{")
	sink.Change(watch.Batch{Rows: []watch.Row{odd}})
	sink.Change(watch.Batch{Rows: []watch.Row{odd}})
	g.Expect(reports()).To(Equal(2))
	sink.Reset(watch.Batch{Rows: []watch.Row{sound}})
	g.Expect(sink.reported).To(BeEmpty())
}

// TestInvalidOperatorRowsHaveNoEffectAndAreReportedOnce guards against an incomplete configuration that takes the
// place of the one in force, and against one that floods the log.
func TestInvalidOperatorRowsHaveNoEffectAndAreReportedOnce(t *testing.T) {
	g := NewWithT(t)
	d, _ := newEntriesDaemon(io.Discard)
	sink := d.operatorSink
	config := watch.Row{Key: "config", Revision: 2, Value: []byte(`{"Routes":[{"Name":"r","Hostname":"h","Prefix":"/a/"}]}`)}
	order := watch.Row{Key: "rollout/s", Revision: 3, Value: []byte(`{"Service":"s"}`)}
	for range 3 {
		sink.Reset(watch.Batch{Rows: []watch.Row{config, order}})
	}
	g.Expect(sink.Table()).To(BeNil(), "a configuration without a version is none")
	g.Expect(counterSum(g, d, "poplarshore_operator_rows_invalid_total")).To(BeNumerically("==", 2))
	sound := watch.Row{Key: "config", Revision: 4, Value: []byte(`{"Version":3}`)}
	sink.Change(watch.Batch{Rows: []watch.Row{sound}})
	g.Expect(sink.Table().Version()).To(BeEquivalentTo(3))
	g.Expect(sink.reported).NotTo(HaveKey("config"))
	config.Revision = 5
	sink.Change(watch.Batch{Rows: []watch.Row{config}})
	g.Expect(sink.Table().Version()).To(BeEquivalentTo(3), "the last sound one stays in force")
	g.Expect(counterSum(g, d, "poplarshore_operator_rows_invalid_total")).To(BeNumerically("==", 3))
}
