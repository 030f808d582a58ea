package members_test

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/watch"
)

// recordingWriter sends each change to the channel.
type recordingWriter chan watch.Change

// Commit implements watch.Writer.
func (w recordingWriter) Commit(_ context.Context, c watch.Change) error {
	w <- c
	return nil
}

// TestRowIsWrittenAgainWhenListingLacksIt covers a store that was restored from a copy
// made before the VM wrote its row.
func TestRowIsWrittenAgainWhenListingLacksIt(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	list := members.NewList("vm-1", "t", slog.New(slog.NewTextHandler(io.Discard, nil)))
	writes := make(recordingWriter, 4)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		list.Announce(ctx, members.Member{Feed: netip.MustParseAddrPort("127.0.0.1:1")}, writes, clock)
	}()
	first := <-writes
	ownRow := watch.Row{Key: first.Puts[0].Key, Value: first.Puts[0].Value, Revision: 1}
	otherRow := watch.Row{Key: "vm/vm-2", Value: ownRow.Value, Revision: 2}

	list.Reset(watch.Batch{Rows: []watch.Row{ownRow, otherRow}})
	list.Reset(watch.Batch{Rows: []watch.Row{otherRow}, Era: 1})
	g.Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
	g.Expect(writes).To(BeEmpty())
	clock.Advance(time.Minute)
	g.Expect((<-writes).Puts).To(Equal(first.Puts))
	cancel()
	<-done
}
