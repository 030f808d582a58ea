package gatewayd_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

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
	d := gatewayd.New(settingsFor(used.Addr().String()), io.Discard, clockwork.NewFakeClock())
	g.Expect(d.Start(t.Context())).NotTo(Succeed())
	again, err := net.Listen("tcp", d.CallersAddress())
	g.Expect(err).NotTo(HaveOccurred(), "the callers' address is still in use")
	g.Expect(again.Close()).To(Succeed())
}

// settingsFor returns settings with an address for other VMs, and free ports for the others.
func settingsFor(peers string) *settings.Gateway {
	s := settings.DefaultGateway()
	s.VM = settings.VM{ID: "vm-1", Domain: "d1", Region: "r1"}
	s.Regions = map[domain.ID]domain.Region{"d1": "r1"}
	s.Callers.Address, s.Health.Address, s.Metrics.Address = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Hints, s.Peers.Address, s.Store.Address = "127.0.0.1:0", peers, "127.0.0.1:1"
	return s
}

// TestStartWaitsForAddressOfProcessBefore guards against a process that ends because the one before it,
// whose planned stop goes on, still listens.
func TestStartWaitsForAddressOfProcessBefore(t *testing.T) {
	g := NewWithT(t)
	used, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	clock := clockwork.NewFakeClock()
	d := gatewayd.New(settingsFor(used.Addr().String()), io.Discard, clock)
	started := make(chan error, 1)
	go func() { started <- d.StartWhenFree(t.Context()) }()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for range 2 {
		g.Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		clock.Advance(100 * time.Millisecond)
	}
	g.Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
	g.Expect(used.Close()).To(Succeed())
	clock.Advance(100 * time.Millisecond)
	g.Eventually(started, 5*time.Second).Should(Receive(BeNil()))
	d.Kill()
}

// TestStartFailsWhileAddressStaysInUse guards against a process that waits for ever for an address that is
// not its own.
func TestStartFailsWhileAddressStaysInUse(t *testing.T) {
	g := NewWithT(t)
	used, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = used.Close() }()
	clock, s := clockwork.NewFakeClock(), settingsFor(used.Addr().String())
	d := gatewayd.New(s, io.Discard, clock)
	started := make(chan error, 1)
	go func() { started <- d.StartWhenFree(t.Context()) }()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	g.Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
	clock.Advance(s.Stop.GraceS.Duration())
	g.Eventually(started, 5*time.Second).Should(Receive(MatchError(ContainSubstring("address already in use"))))
}
