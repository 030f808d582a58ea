package members_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/vm"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// recordingWriter sends each change to the channel.
type recordingWriter chan watch.Change

// Commit implements watch.Writer.
func (w recordingWriter) Commit(_ context.Context, c watch.Change) error {
	w <- c
	return nil
}

// testVM is a VM with an announcer and a collector.
type testVM struct {
	list  *members.List
	clock *clockwork.FakeClock
	// writes are the changes that the VM writes to the store.
	writes recordingWriter
	// address is where the VM accepts rows.
	address string
}

// TestListIsUnknownWithoutOwnRow guards against a VM that takes the whole of a shared rate
// because its list is empty.
func TestListIsUnknownWithoutOwnRow(t *testing.T) {
	g := NewWithT(t)
	list := members.NewList("a", "t", discardLog)
	row := watch.Row{Key: members.Prefix + "a", Value: []byte("{}")}
	g.Expect(list.Listed()).To(BeFalse())
	list.Reset(watch.Batch{Rows: []watch.Row{{Key: members.Prefix + "b", Value: []byte("{}")}}})
	g.Expect(list.Listed()).To(BeFalse())
	list.Change(watch.Batch{Rows: []watch.Row{row}})
	g.Expect(list.Listed()).To(BeTrue())
	list.Reset(watch.Batch{Rows: []watch.Row{row}})
	g.Expect(list.Listed()).To(BeTrue())
	list.Change(watch.Batch{Rows: []watch.Row{{Key: row.Key, Deleted: true}}})
	g.Expect(list.Listed()).To(BeFalse())
	list.Reset(watch.Batch{})
	g.Expect(list.Listed()).To(BeFalse())
}

// startVM starts a VM whose seed has the given address; empty makes it a seed itself.
func startVM(t *testing.T, id, seed string) *testVM {
	v := &testVM{
		list:  members.NewList(vm.ID(id), "t", discardLog),
		clock: clockwork.NewFakeClock(), writes: make(recordingWriter, 8),
	}
	collector := members.NewCollector("t", v.writes, v.clock, discardLog)
	mux := http.NewServeMux()
	mux.Handle(members.Path, collector)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	v.address = strings.TrimPrefix(server.URL, "http://")
	if seed == "" {
		seed = v.address
	}
	announcer := members.NewAnnouncer(members.AnnouncerOptions{
		List: v.list, Member: members.Member{Feed: netip.MustParseAddrPort("127.0.0.1:1")},
		Seeds: []string{seed}, Self: v.address, Collector: collector,
		Writer: v.writes, Clock: v.clock, Log: discardLog,
	})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{}, 2)
	for _, run := range []func(context.Context){announcer.Run, collector.Run} {
		go func() {
			run(ctx)
			stopped <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		<-stopped
		<-stopped
	})
	return v
}

// keys returns the keys that a change writes.
func keys(c watch.Change) []string {
	var written []string
	for _, p := range c.Puts {
		written = append(written, p.Key)
	}
	return written
}

// TestSeedWritesRowsOfStartingVMsTogether starts VMs at the same time, which must not
// cost the store a write each.
func TestSeedWritesRowsOfStartingVMsTogether(t *testing.T) {
	g := NewWithT(t)
	seed := startVM(t, "seed", "")
	a, b := startVM(t, "a", seed.address), startVM(t, "b", seed.address)
	for _, v := range []*testVM{seed, a, b} {
		v.list.Reset(watch.Batch{})
		g.Expect(v.clock.BlockUntilContext(t.Context(), 1)).To(Succeed())
	}
	g.Expect(seed.clock.BlockUntilContext(t.Context(), 2)).To(Succeed())
	seed.clock.Advance(time.Second)
	change := <-seed.writes
	g.Expect(keys(change)).To(ConsistOf("vm/seed", "vm/a", "vm/b"))
	for _, p := range change.Puts {
		if p.Key == "vm/a" {
			a.list.Change(watch.Batch{Rows: []watch.Row{{Key: p.Key, Value: p.Value}}})
		}
	}
	a.clock.Advance(time.Minute)
	b.clock.Advance(time.Minute)
	g.Expect(keys(<-b.writes)).To(Equal([]string{"vm/b"}), "a row that doesn't appear is written by its VM")
	g.Expect(a.writes).To(BeEmpty())
}

// TestRowIsNotWrittenWhenListed covers a VM that restarts with the same addresses.
func TestRowIsNotWrittenWhenListed(t *testing.T) {
	g := NewWithT(t)
	first := startVM(t, "a", "")
	first.list.Reset(watch.Batch{})
	g.Expect(first.clock.BlockUntilContext(t.Context(), 2)).To(Succeed())
	first.clock.Advance(time.Second)
	put := (<-first.writes).Puts[0]

	restarted := startVM(t, "a", "")
	restarted.list.Reset(watch.Batch{Rows: []watch.Row{{Key: put.Key, Value: put.Value}}})
	// A later listing without the row is the first to cause a write.
	restarted.list.Reset(watch.Batch{Era: 1})
	g.Expect(restarted.clock.BlockUntilContext(t.Context(), 2)).To(Succeed())
	g.Expect(restarted.writes).To(BeEmpty())
	restarted.clock.Advance(time.Second)
	g.Expect((<-restarted.writes).Puts).To(Equal([]watch.Put{put}))
}
