package command_test

import (
	"os"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/command"
)

// send sends a signal to this process.
func send(g *WithT, sig syscall.Signal) { g.Expect(syscall.Kill(syscall.Getpid(), sig)).To(Succeed()) }

// TestSecondSIGTERMShortensStopOnlyIfItMay guards against requests that are cut because a service manager
// sends SIGTERM twice, to the process and to its group.
func TestSecondSIGTERMShortensStopOnlyIfItMay(t *testing.T) {
	g := NewWithT(t)
	first, second, stop := command.Signals(t.Context(), os.Interrupt)
	defer stop()
	send(g, syscall.SIGTERM)
	g.Eventually(first.Done()).Should(BeClosed())
	send(g, syscall.SIGTERM)
	g.Consistently(second.Done(), "50ms").ShouldNot(BeClosed())
	send(g, syscall.SIGINT)
	g.Eventually(second.Done()).Should(BeClosed())
}

// TestAnySecondSignalShortensStop guards against a change of what signals do by default.
func TestAnySecondSignalShortensStop(t *testing.T) {
	g := NewWithT(t)
	first, second, stop := command.Signals(t.Context())
	defer stop()
	send(g, syscall.SIGTERM)
	g.Eventually(first.Done()).Should(BeClosed())
	g.Expect(second.Err()).NotTo(HaveOccurred())
	send(g, syscall.SIGTERM)
	g.Eventually(second.Done()).Should(BeClosed())
}
