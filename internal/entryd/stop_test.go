package entryd_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/environment"
	"github.com/poplarshore/poplarshore/standin/fault"
	standinplatform "github.com/poplarshore/poplarshore/standin/platform"
	"github.com/poplarshore/poplarshore/standin/service"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

// stopTest is an environment whose VM vm-1 is stopped while requests are in flight. VM vm-2 goes on.
type stopTest struct {
	*WithT
	t *testing.T
	*environment.Environment
	// stopped receives the number of aborted requests when the stop has ended.
	stopped chan int
}

const (
	// permitBody is the body of a non-idempotent call.
	permitBody = `{"street":"Alem 100"}`
	// stopTestTimeout limits each wait of a test.
	stopTestTimeout = 20 * time.Second
)

// newStopTest starts an environment whose VMs drain for at most the given time.
func newStopTest(t *testing.T, drain time.Duration) *stopTest {
	return newStopTestWithTokenTime(t, drain, 0)
}

// newStopTestWithTokenTime starts an environment whose engines take the given time for each token.
func newStopTestWithTokenTime(t *testing.T, drain, tokenTime time.Duration) *stopTest {
	g := NewWithT(t)
	configure := func(s *settings.Entry) {
		s.Stop.DrainMS = settings.Millis(drain.Milliseconds())
		// Silent engines are not given up before the test ends.
		s.Timeouts.HeadersMS = settings.Millis(stopTestTimeout.Milliseconds())
	}
	e, err := environment.Start(t.Context(), environment.Options{
		Document:        examples.Quickstart,
		ConfigureEngine: func(_ upstream.Upstream, o *engine.Options) { o.TokenTime = tokenTime },
		VMs: []environment.VM{
			{ID: "vm-1", Domain: "local-1", ConfigureSettings: configure},
			{ID: "vm-2", Domain: "local-1", ConfigureSettings: configure},
		},
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(e.Close)
	return &stopTest{WithT: g, t: t, Environment: e, stopped: make(chan int, 1)}
}

// send sends text to vm-1 on a new connection.
func (s *stopTest) send(text string) net.Conn {
	return s.sendTo("vm-1", text)
}

// sendTo sends text to a VM on a new connection.
func (s *stopTest) sendTo(id vm.ID, text string) net.Conn {
	return s.sendToAddress(s.VM(id).CallersAddress(), text)
}

// sendToAddress sends text to a host:port on a new connection.
func (s *stopTest) sendToAddress(address, text string) net.Conn {
	c, err := net.Dial("tcp", address)
	s.Expect(err).NotTo(HaveOccurred())
	s.t.Cleanup(func() { _ = c.Close() })
	s.Expect(c.SetDeadline(time.Now().Add(stopTestTimeout))).To(Succeed())
	_, err = io.WriteString(c, text)
	s.Expect(err).NotTo(HaveOccurred())
	return c
}

// request returns the text of a request of the demo account.
func request(method, path, headers, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, demoKey, headers, len(body), body)
}

// awaitInFlight waits until n requests are in flight at vm-1.
func (s *stopTest) awaitInFlight(n int) {
	s.Eventually(func() int { return s.VM("vm-1").Status().InFlight }, stopTestTimeout).Should(Equal(n))
}

// awaitInjected waits until the fault has been injected.
func (s *stopTest) awaitInjected(faults *fault.Set, kind fault.Kind) {
	s.Eventually(func() uint64 { return faults.Report().Injected[kind] }, stopTestTimeout).Should(BeNumerically(">", 0))
}

// beginStop starts the stop of vm-1 and waits until it refuses new requests.
func (s *stopTest) beginStop() {
	address := s.VM("vm-1").CallersAddress()
	s.startStop()
	s.Eventually(func() int {
		resp, err := http.Get("http://" + address + "/v1/models")
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}, stopTestTimeout).Should(Equal(http.StatusServiceUnavailable))
}

// startStop starts the stop of vm-1.
func (s *stopTest) startStop() {
	go func() { s.stopped <- s.StopVM("vm-1") }()
}

// answer is a response to a caller of the test.
type answer struct {
	status           int
	reason, ran      string
	retryAfter, body string
	resumeToken      string
	// whole reports whether the body ended orderly.
	whole bool
}

// readAnswer reads a response. It fails the test if the connection ends before one.
func (s *stopTest) readAnswer(c net.Conn) answer {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	s.Expect(err).NotTo(HaveOccurred(), "the connection ended without an answer")
	body, err := io.ReadAll(resp.Body)
	var parsed struct {
		Error struct{ Code, Ran string }
	}
	_ = json.Unmarshal(body, &parsed)
	return answer{
		status: resp.StatusCode, reason: parsed.Error.Code, ran: parsed.Error.Ran,
		retryAfter: resp.Header.Get("Retry-After"), resumeToken: resp.Header.Get("Poplarshore-Resume"), body: string(body), whole: err == nil,
	}
}

// expectDrainingRefusal reads a refusal that says that the request was not run.
func (s *stopTest) expectDrainingRefusal(c net.Conn) {
	a := s.readAnswer(c)
	s.Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.body)
	s.Expect(a.reason).To(Equal("draining"))
	s.Expect(a.ran).To(Equal("no"))
	s.Expect(a.retryAfter).NotTo(BeEmpty())
}

// TestBodyThatDrainCannotHoldIsRefusedAtOnce guards against calls whose body arrives late in the drain: they were
// sent to their upstream and cut.
func TestBodyThatDrainCannotHoldIsRefusedAtOnce(t *testing.T) {
	s := newStopTest(t, 2*time.Second)
	permits := s.Services["permits-1"]
	s.Expect(permits.Faults.Add(fault.Rule{Kind: service.Stall})).To(Succeed())
	text := request(http.MethodPost, permitsIssue, "", permitBody)
	late := s.send(text[:len(text)-5])
	s.awaitInFlight(1)
	s.beginStop()
	// The connection may be closed already.
	_, _ = io.WriteString(late, text[len(text)-5:])
	s.expectDrainingRefusal(late)
	s.Expect(permits.Counts().Runs).To(BeZero())
	s.Eventually(s.stopped, stopTestTimeout).Should(Receive(BeZero()))
}

// TestBodyThatDrainHoldsIsServed guards against a stop that refuses what it can finish.
func TestBodyThatDrainHoldsIsServed(t *testing.T) {
	s := newStopTest(t, stopTestTimeout)
	text := request(http.MethodPost, permitsIssue, "Poplarshore-Deadline-Ms: 10000\r\n", permitBody)
	late := s.send(text[:len(text)-5])
	s.awaitInFlight(1)
	s.beginStop()
	_, err := io.WriteString(late, text[len(text)-5:])
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(s.readAnswer(late).status).To(Equal(http.StatusCreated))
	s.Eventually(s.stopped, stopTestTimeout).Should(Receive(BeZero()))
}

// TestDrainMakesNoAttemptThatItCannotHold guards against further attempts late in the drain, which were cut.
func TestDrainMakesNoAttemptThatItCannotHold(t *testing.T) {
	s := newStopTest(t, 2*time.Second)
	faults := s.Services["permits-1"].Faults
	for _, rule := range []fault.Rule{
		{Kind: service.Slow, DelayMs: 1000, Count: 1}, {Kind: service.ResetBeforeRead, Count: 1}, {Kind: service.Stall},
	} {
		s.Expect(faults.Add(rule)).To(Succeed())
	}
	c := s.send(request(http.MethodGet, "/services/permits/status/P-1", "", ""))
	s.awaitInjected(faults, service.Slow)
	s.beginStop()
	a := s.readAnswer(c)
	s.Expect(a.status).To(Equal(http.StatusBadGateway), a.body)
	s.Expect(a.ran).To(Equal("unknown"))
	s.Expect(faults.Report().Injected[service.Stall]).To(BeZero(), "no second attempt")
}

// TestUnansweredCallIsToldItsOutcomeIsUnknown guards against non-idempotent calls that end without an answer with the drain,
// and against claims that stay open.
func TestUnansweredCallIsToldItsOutcomeIsUnknown(t *testing.T) {
	s := newStopTest(t, 300*time.Millisecond)
	permits := s.Services["permits-1"]
	s.Expect(permits.Faults.Add(fault.Rule{Kind: service.Stall, Count: 1})).To(Succeed())
	text := request(http.MethodPost, permitsIssue, "Idempotency-Key: one\r\n", permitBody)
	c := s.send(text)
	s.awaitInjected(permits.Faults, service.Stall)
	s.beginStop()
	a := s.readAnswer(c)
	s.Expect(a.reason).To(Equal("outcome_unknown"), a.body)
	s.Expect(a.ran).To(Equal("unknown"))
	s.Eventually(s.stopped, stopTestTimeout).Should(Receive())

	repeated := s.readAnswer(s.sendTo("vm-2", text))
	s.Expect(repeated.reason).To(Equal("outcome_unknown"), repeated.body)
	s.Expect(permits.Counts().Runs).To(BeEquivalentTo(1))
}

// TestUnansweredCompletionIsToldThatItMayHaveRun guards against completions that end without an answer with the drain.
func TestUnansweredCompletionIsToldThatItMayHaveRun(t *testing.T) {
	s := newStopTest(t, 300*time.Millisecond)
	faults := s.Engines["strong-1"].Faults
	s.Expect(faults.Add(fault.Rule{Kind: engine.Stall})).To(Succeed())
	var callers []net.Conn
	for _, stream := range []bool{false, true} {
		body := fmt.Sprintf(`{"model":"strong","prompt":"x","stream":%t}`, stream)
		callers = append(callers, s.send(request(http.MethodPost, "/v1/completions", "", body)))
	}
	s.Eventually(func() uint64 { return faults.Report().Injected[engine.Stall] }, stopTestTimeout).Should(BeEquivalentTo(2))
	s.beginStop()
	for _, c := range callers {
		a := s.readAnswer(c)
		s.Expect(a.status).To(Equal(http.StatusBadGateway), a.body)
		s.Expect(a.ran).To(Equal("unknown"))
	}
	s.Eventually(s.stopped, stopTestTimeout).Should(Receive())
}

// TestStreamBrokenOffByDrainDoesNotLookComplete guards against streams whose end is taken for a whole answer, and
// against a bill that is lost with them.
func TestStreamBrokenOffByDrainDoesNotLookComplete(t *testing.T) {
	s := newStopTest(t, 300*time.Millisecond)
	s.Expect(s.Engines["strong-1"].Faults.Add(fault.Rule{Kind: engine.Stall, AfterPieces: 3})).To(Succeed())
	c := s.send(request(http.MethodPost, "/v1/completions", "", `{"model":"strong","prompt":"x","stream":true}`))
	s.awaitInjected(s.Engines["strong-1"].Faults, engine.Stall)
	s.beginStop()
	a := s.readAnswer(c)
	s.Expect(a.status).To(Equal(http.StatusOK))
	s.Expect(a.whole).To(BeFalse())
	s.Expect(a.body).NotTo(ContainSubstring("[DONE]"))
	s.Eventually(s.stopped, stopTestTimeout).Should(Receive())
}

// TestEndOfWaitsAnswersRequests guards against a second SIGTERM that cuts requests: it ends the waits of a stop.
func TestEndOfWaitsAnswersRequests(t *testing.T) {
	s := newStopTest(t, stopTestTimeout)
	permits := s.Services["permits-1"]
	s.Expect(permits.Faults.Add(fault.Rule{Kind: service.Stall, Count: 1})).To(Succeed())
	waiting := s.send(request(http.MethodPost, permitsIssue, "", permitBody))
	s.awaitInjected(permits.Faults, service.Stall)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	stopped := s.VM("vm-1")
	go func() { s.stopped <- stopped.Stop(ctx, nil) }()
	a := s.readAnswer(waiting)
	s.Expect(a.reason).To(Equal("outcome_unknown"), a.body)
	s.Eventually(s.stopped, stopTestTimeout).Should(Receive(Equal(1)))
}

// TestUnansweredCallIsToldWithoutStore guards against callers that get no answer because the claim of their call can't be
// written when a stop ends it.
func TestUnansweredCallIsToldWithoutStore(t *testing.T) {
	s := newStopTest(t, 300*time.Millisecond)
	permits := s.Services["permits-1"]
	s.Expect(permits.Faults.Add(fault.Rule{Kind: service.Stall, Count: 1})).To(Succeed())
	c := s.send(request(http.MethodPost, permitsIssue, "Idempotency-Key: one\r\n", permitBody))
	s.awaitInjected(permits.Faults, service.Stall)
	hang := fault.Rule{Kind: standinplatform.Slow, DelayMs: time.Minute.Milliseconds()}
	s.Expect(s.Platform.Faults.Add(hang)).To(Succeed())
	s.beginStop()
	a := s.readAnswer(c)
	s.Expect(a.reason).To(Equal("outcome_unknown"), a.body)
	s.Expect(a.ran).To(Equal("unknown"))
	s.Eventually(s.stopped, stopTestTimeout).Should(Receive(Equal(1)))
}

// TestDrainBeginsNoStepOfCascadeThatItCannotHold guards against a stronger model that is asked late in the drain, and cut.
func TestDrainBeginsNoStepOfCascadeThatItCannotHold(t *testing.T) {
	s := newStopTestWithTokenTime(t, 10*time.Second, 50*time.Millisecond)
	for _, id := range []upstream.ID{"cheap-1", "cheap-2"} {
		s.Expect(s.Engines[id].Faults.Add(fault.Rule{Kind: engine.BadQuality})).To(Succeed())
	}
	c := s.send(request(http.MethodPost, "/v1/completions", "", `{"model":"draft","prompt":"x"}`))
	s.Eventually(func() uint64 {
		return s.Engines["cheap-1"].Counts().Runs + s.Engines["cheap-2"].Counts().Runs
	}, stopTestTimeout).Should(BeNumerically(">", 0))
	s.beginStop()
	a := s.readAnswer(c)
	s.Expect(s.Engines["strong-1"].Counts().Runs).To(BeZero(), a.body)
	s.Expect(a.status).To(Equal(http.StatusOK), "the answer of the cheap model is delivered: %s", a.body)
	s.Eventually(s.stopped, stopTestTimeout).Should(Receive(BeZero()))
}
