package gatewayd

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/watch"
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
		sink := &upstreamSink{log: d.log, directory: d.directory}
		entry := watch.Row{Key: "u", Value: []byte(`{"Service":"s","Address":"127.0.0.1:1","Zone":"d1","Version":"v1","Capacity":1,"Phase":"ready"}`)}
		sink.Reset(watch.Batch{Rows: []watch.Row{entry}})
		g.Expect(d.directory.ForService("s")).To(HaveLen(1))

		sink.StoreUnavailable(errors.New("no response"))
		sink.StoreAvailable(watch.Outage{Duration: 5 * time.Second, Local: local})
		sink.Change(watch.Batch{Rows: []watch.Row{{Key: "u", Deleted: true}}})
		g.Expect(d.directory.ForService("s")).To(HaveLen(want), "local: %v", local)
	}
}
