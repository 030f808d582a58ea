package engineclient_test

import (
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/engineclient"
	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/order"
	"github.com/poplarshore/poplarshore/standin/rawserver"
)

// expectNoAnswer expects that an engine that sends the raw bytes has accepted no order, and has no load report.
func expectNoAnswer(t *testing.T, raw string) {
	t.Helper()
	g := NewWithT(t)
	address, pools := startEngine(t, raw), transport.NewPools(transport.Options{})
	err := (&engineclient.Orders{Pools: pools, Address: address}).Apply(t.Context(), order.Order{})
	g.Expect(errorx.IsOfType(err, order.ErrUnknown)).To(BeTrue(), "%q: %v", raw, err)
	_, err = engineclient.New(pools, engineclient.Limits{}, membudget.New(1<<20)).Load(t.Context(), address)
	g.Expect(errorx.IsOfType(err, engineclient.ErrBroken)).To(BeTrue(), "%q: %v", raw, err)
}

// TestOrderAnsweredWithoutStatusOfHTTPIsUnknown guards against an order that counts as accepted because the status of its answer is
// below that of failures.
func TestOrderAnsweredWithoutStatusOfHTTPIsUnknown(t *testing.T) {
	for _, status := range rawserver.InvalidStatuses() {
		expectNoAnswer(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\n{}")
	}
}
