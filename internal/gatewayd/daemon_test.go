package gatewayd_test

import (
	"io"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/gatewayd"
	"github.com/poplarshore/poplarshore/settings"
)

// TestFailedStartLeavesNoOpenListener covers an address that is in use: the listeners that
// were opened before it must be closed again.
func TestFailedStartLeavesNoOpenListener(t *testing.T) {
	g := NewWithT(t)
	used, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = used.Close() }()
	s := settings.DefaultGateway()
	s.VM = settings.VM{ID: "vm-1", Domain: "d1", Region: "r1"}
	s.Regions = map[domain.ID]domain.Region{"d1": "r1"}
	s.Callers.Address, s.Health.Address, s.Metrics.Address = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Hints, s.Peers.Address, s.Store.Address = "127.0.0.1:0", used.Addr().String(), "127.0.0.1:1"
	d := gatewayd.New(s, io.Discard, clockwork.NewFakeClock())
	g.Expect(d.Start(t.Context())).NotTo(Succeed())
	again, err := net.Listen("tcp", d.CallersAddress())
	g.Expect(err).NotTo(HaveOccurred(), "the callers' address is still in use")
	g.Expect(again.Close()).To(Succeed())
}
