package gatewayd

import (
	"io"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/watch"
)

// TestOddVMRowExcludesNoAnsweringUpstream guards against a row among those of the VMs that takes a sound
// upstream out of use on all VMs, by naming its address.
func TestOddVMRowExcludesNoAnsweringUpstream(t *testing.T) {
	g := NewWithT(t)
	d, _ := newEntriesDaemon(io.Discard)
	sink := &vmSink{shifts: d.shifts, vms: d.vms, quarantines: d.quarantines, onVMs: d.refreshVMAddresses}
	sink.Reset(watch.Batch{})
	d.upstreamSink.Reset(watch.Batch{Rows: []watch.Row{entryRow("sound", "d1", "10.0.0.1:9000", 1)}})
	d.directory.ForService("s")[0].MarkAnswered()
	sink.Change(watch.Batch{Rows: []watch.Row{{Key: members.Prefix + "odd", Value: []byte(`{"domain":"d1","hints":"10.0.0.9:7341","callers":"10.0.0.1:9000"}`)}}})
	g.Expect(d.directory.ForService("s")).To(HaveLen(1), "the upstream has answered at its address")
}
