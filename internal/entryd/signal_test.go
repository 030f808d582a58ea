package entryd_test

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/spf13/cobra"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/internal/entryd"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/environment"
	"github.com/poplarshore/poplarshore/standin/fault"
)

// runningCommand is the poplarshored command in the process of the test. It gets the signals that the test sends
// to its own process.
type runningCommand struct {
	*WithT
	*environment.Environment
	log     *gbytes.Buffer
	address string
	// ended receives the result of the command.
	ended chan error
}

// newCommand returns the command, which is not started yet, with settings for an environment.
func newCommand(t *testing.T) (*runningCommand, *cobra.Command) {
	g := NewWithT(t)
	var s settings.Entry
	e, err := environment.Start(t.Context(), environment.Options{
		Document: examples.Quickstart,
		VMs:      []environment.VM{{ID: "vm-1", Domain: "local-1", ConfigureSettings: func(configured *settings.Entry) { s = *configured }}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(e.Close)
	s.VM.ID, s.Stop.BalancerGraceMS = "vm-9", 100
	text, err := json.Marshal(s)
	g.Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(t.TempDir(), "entry.json")
	g.Expect(os.WriteFile(path, text, 0o600)).To(Succeed())

	c := &runningCommand{WithT: g, Environment: e, log: gbytes.NewBuffer(), ended: make(chan error, 1)}
	command := entryd.NewCommand()
	command.SetArgs([]string{"--settings", path})
	command.SetErr(c.log)
	return c, command
}

// startCommand starts the command in an environment, and waits until it serves.
func startCommand(t *testing.T) *runningCommand {
	c, command := newCommand(t)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { c.ended <- command.ExecuteContext(ctx) }()
	c.Eventually(c.log, stopTestTimeout).Should(gbytes.Say("msg=started"))
	c.address = regexp.MustCompile(`callers=(\S+)`).FindStringSubmatch(string(c.log.Contents()))[1]
	c.Eventually(func() int { return c.get("/v1/models") }, stopTestTimeout).Should(Equal(http.StatusOK))
	return c
}

// get sends a request and returns the status of its answer, zero if there is none.
func (c *runningCommand) get(path string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+c.address+path, nil)
	c.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+demoKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// signal sends a signal to the process.
func (c *runningCommand) signal(s syscall.Signal) {
	c.Expect(syscall.Kill(os.Getpid(), s)).To(Succeed())
}

// TestHangupDoesNotEndProcess guards against requests that are cut by SIGHUP, whose default action ends a process.
func TestHangupDoesNotEndProcess(t *testing.T) {
	c := startCommand(t)
	c.signal(syscall.SIGHUP)
	c.Eventually(c.log, stopTestTimeout).Should(gbytes.Say("SIGHUP"))
	c.Expect(c.get("/v1/models")).To(Equal(http.StatusOK))
	c.signal(syscall.SIGTERM)
	c.Eventually(c.log, stopTestTimeout).Should(gbytes.Say("msg=stopping"))
	c.signal(syscall.SIGHUP)
	c.Eventually(c.ended, stopTestTimeout).Should(Receive(Succeed()))
}

// TestSecondSignalBillsRequests guards against a second SIGTERM that ends the ledger's worker together with the
// requests: their records are not committed then, and get lost if no other VM takes them.
func TestSecondSignalBillsRequests(t *testing.T) {
	c := startCommand(t)
	faults := c.Engines["strong-1"].Faults
	c.Expect(faults.Add(fault.Rule{Kind: engine.Stall, AfterPieces: 3})).To(Succeed())
	s := &stopTest{WithT: c.WithT, t: t, Environment: c.Environment}
	stream := s.sendToAddress(c.address, request(http.MethodPost, "/v1/completions", "", `{"model":"strong","prompt":"x","stream":true}`))
	s.awaitInjected(faults, engine.Stall)
	c.signal(syscall.SIGTERM)
	c.Eventually(c.log, stopTestTimeout).Should(gbytes.Say("msg=stopping"))
	c.signal(syscall.SIGTERM)
	a := s.readAnswer(stream)
	c.Expect(a.whole).To(BeFalse())
	c.Eventually(c.ended, stopTestTimeout).Should(Receive(MatchError(ContainSubstring("1 requests"))))
	c.Expect(string(c.log.Contents())).NotTo(ContainSubstring("uncommitted ledger segments"))
}

// TestRestartWithinDrainCutsNothing guards against a process that takes requests from the one that still drains on
// the same address.
func TestRestartWithinDrainCutsNothing(t *testing.T) {
	s := newStopTest(t, stopTestTimeout)
	text := request(http.MethodPost, permitsIssue, "Poplarshore-Deadline-Ms: 10000\r\n", permitBody)
	late := s.send(text[:len(text)-5])
	s.awaitInFlight(1)
	s.beginStop()
	address := s.VM("vm-1").CallersAddress()
	restarted := environment.VM{ID: "vm-3", Domain: "local-1", CallersAddress: address}
	_, err := s.StartVM(restarted)
	s.Expect(err).To(MatchError(ContainSubstring(address)))
	_, err = late.Write([]byte(text[len(text)-5:]))
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(s.readAnswer(late).status).To(Equal(http.StatusCreated))
	s.Eventually(s.stopped, stopTestTimeout).Should(Receive(BeZero()))
	_, err = s.StartVM(restarted)
	s.Expect(err).NotTo(HaveOccurred())
}

// TestStopDuringStartEndsProcess guards against a SIGTERM during the start that leaves the process running.
func TestStopDuringStartEndsProcess(t *testing.T) {
	c, command := newCommand(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c.Expect(command.ExecuteContext(ctx)).To(Succeed())
	c.Expect(c.log).To(gbytes.Say("msg=stopped"))
}

// TestFailedStartTakesNoRequests guards against requests that are cut by a process that can't start, as within the drain
// of the process before: it must not listen for callers until all other addresses are its own.
func TestFailedStartTakesNoRequests(t *testing.T) {
	s := newStopTest(t, time.Second)
	running := s.VM("vm-1")
	for _, taken := range []func(*settings.Entry) string{
		func(e *settings.Entry) string {
			e.Operators.Address = running.OperatorsAddress()
			return e.Operators.Address
		},
		func(e *settings.Entry) string { e.Peers.Address = running.PeersAddress(); return e.Peers.Address },
	} {
		var address string
		_, err := s.StartVM(environment.VM{ID: "vm-3", Domain: "local-1", ConfigureSettings: func(e *settings.Entry) {
			e.Callers.Address = running.CallersAddress()
			address = taken(e)
		}})
		s.Expect(err).To(MatchError(ContainSubstring(address)), "fails before it listens for callers")
	}
}
