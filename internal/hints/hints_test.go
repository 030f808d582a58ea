package hints_test

import (
	"context"
	"io"
	"log/slog"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/internal/hints"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/vm"
)

func open(t *testing.T, id vm.ID, take func(hints.Hint)) *hints.Exchange {
	x, err := hints.Open(id, "127.0.0.1:0", take, slog.New(slog.NewTextHandler(io.Discard, nil)), prometheus.NewRegistry())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	for _, duty := range []func(context.Context){x.Send, x.Receive} {
		go func() {
			duty(ctx)
			done <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		x.Close()
		<-done
		<-done
	})
	return x
}

func row(t *testing.T, x *hints.Exchange) watch.Row {
	put, err := x.Row("table")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return watch.Row{Key: put.Key, Value: put.Value}
}

func TestHintsReachTheOtherVMsOnly(t *testing.T) {
	g := NewWithT(t)
	got := make(chan hints.Hint, 8)
	a := open(t, "a", func(hints.Hint) { t.Error("a hint came back to its sender") })
	b := open(t, "b", func(h hints.Hint) { got <- h })
	a.Rows([]watch.Row{row(t, a), row(t, b), {Key: "vm/odd", Value: []byte("{")}, {Key: "state/s"}})
	g.Expect(a.Peers()).To(Equal(1))
	h := hints.Hint{Upstream: "e1", WorkMS: 1500}
	a.Tell(h)
	g.Eventually(got).Should(Receive(Equal(h)))
}

func TestAVMThatLeftIsForgotten(t *testing.T) {
	g := NewWithT(t)
	a, b := open(t, "a", nil), open(t, "b", nil)
	a.Rows([]watch.Row{row(t, b)})
	a.Rows([]watch.Row{{Key: "vm/b", Deleted: true}})
	g.Expect(a.Peers()).To(BeZero())
}
