package entryd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/standin/caller"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/fault"
	standinplatform "github.com/poplarshore/poplarshore/standin/platform"
)

// crossing sends requests from one caller, one after the other, until it is refused or can't connect. It opens its
// connection again whenever a response ends it.
type crossing struct {
	address string
	text    string
	// insistent makes the caller go on after a refusal, until it can't connect.
	insistent bool
	// served counts the answers of all callers, lost their requests without an answer.
	served, lost *atomic.Int64
}

func (c crossing) run() {
	for {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return
		}
		again := c.useConn(conn)
		_ = conn.Close()
		if !again {
			return
		}
	}
}

// useConn sends requests until the connection ends, and reports whether to open another one.
func (c crossing) useConn(conn net.Conn) (again bool) {
	_ = conn.SetDeadline(time.Now().Add(stopTestTimeout))
	r := bufio.NewReader(conn)
	for {
		if _, err := io.WriteString(conn, c.text); err != nil {
			c.lost.Add(1)
			return false
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			c.lost.Add(1)
			return false
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode == http.StatusServiceUnavailable {
			if !c.insistent {
				return false
			}
		} else {
			c.served.Add(1)
		}
		if resp.Close {
			return true
		}
	}
}

// TestRequestsThatCrossStopAreAnswered guards against whole requests that get the end of their connection in place of an
// answer, in the moment in which the listener stops.
func TestRequestsThatCrossStopAreAnswered(t *testing.T) {
	crossStop(t, false)
}

// TestCallersThatKeepConnectingAreAnswered guards against requests that are reset because their callers open a connection
// again after each refusal, so that some always wait to be accepted when the listener is closed.
func TestCallersThatKeepConnectingAreAnswered(t *testing.T) {
	crossStop(t, true)
}

// crossStop stops a VM while callers send requests.
func crossStop(t *testing.T, insistent bool) {
	const callers = 60
	s := newStopTest(t, 5*time.Second)
	var served, lost atomic.Int64
	var running sync.WaitGroup
	c := crossing{
		address: s.VM("vm-1").CallersAddress(), text: request(http.MethodGet, "/v1/models", "", ""), served: &served, lost: &lost,
		insistent: insistent,
	}
	for range callers {
		running.Go(c.run)
	}
	s.Eventually(served.Load, stopTestTimeout).Should(BeNumerically(">", callers))
	s.startStop()
	s.Eventually(s.stopped, stopTestTimeout).Should(Receive(BeZero()))
	running.Wait()
	s.Expect(lost.Load()).To(BeZero())
}

// TestQueuedRequestsAreRefusedWhenDrainBegins guards against requests that wait for admission until the end of the drain,
// or are sent then and cut.
func TestQueuedRequestsAreRefusedWhenDrainBegins(t *testing.T) {
	const requests = 100
	s := newStopTest(t, 3*time.Second)
	faults := s.Engines["strong-1"].Faults
	s.Expect(faults.Add(fault.Rule{Kind: engine.Stall})).To(Succeed())
	var callers []net.Conn
	for range requests {
		callers = append(callers, s.send(request(http.MethodPost, "/v1/completions", "", `{"model":"strong","prompt":"x"}`)))
	}
	s.awaitInFlight(requests)
	s.awaitInjected(faults, engine.Stall)
	s.beginStop()
	refused, mayHaveRun := 0, 0
	for _, c := range callers {
		switch a := s.readAnswer(c); a.ran {
		case "no":
			s.Expect(a.reason).To(Equal("draining"), a.body)
			s.Expect(s.stopped).NotTo(Receive(), "refused before the end of the drain")
			refused++
		case "unknown":
			s.Expect(a.status).To(Equal(http.StatusBadGateway), a.body)
			mayHaveRun++
		}
	}
	s.Expect(refused).To(BeNumerically(">", 0))
	s.Expect(refused + mayHaveRun).To(Equal(requests))
	s.Expect(mayHaveRun).To(BeNumerically(">=", faults.Report().Injected[engine.Stall]), "none that was sent is called not run")
}

// TestRevisionIsAppliedToRequestsThatWait guards against calls that run though their key was revoked, or their service
// or model dropped, while they waited.
func TestRevisionIsAppliedToRequestsThatWait(t *testing.T) {
	const keyHash = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"
	for _, change := range []struct {
		name, path, body, old, new, reason string
	}{
		{"key revoked", permitsIssue, permitBody, keyHash, strings.Replace(keyHash, "c4", "d5", 1), "unauthorized"},
		{"service not allowed", permitsIssue, permitBody, `"services": ["permits"]`, `"services": []`, "service_not_allowed"},
		{"model not allowed", "/v1/completions", `{"model":"strong","prompt":"x"}`, `"cheap", "strong"],
      "services"`, `"cheap"],
      "services"`, "model_not_allowed"},
	} {
		t.Run(change.name, func(t *testing.T) {
			s := newStopTest(t, time.Second)
			text := request(http.MethodPost, change.path, "", change.body)
			waiting := s.send(text[:len(text)-5])
			s.awaitInFlight(1)
			document := strings.Replace(string(examples.Quickstart), change.old, change.new, 1)
			s.Expect(s.Publish([]byte(document))).To(Succeed())
			s.Expect(s.AwaitRevision(t.Context(), 2)).To(Succeed())
			_, err := io.WriteString(waiting, text[len(text)-5:])
			s.Expect(err).NotTo(HaveOccurred())
			a := s.readAnswer(waiting)
			s.Expect(a.reason).To(Equal(change.reason), a.body)
			s.Expect(a.ran).To(Equal("no"))
			s.Expect(s.Services["permits-1"].Counts().Runs).To(BeZero())
			s.Expect(s.Engines["strong-1"].Counts().Runs).To(BeZero())
		})
	}
}

// TestClaimOfCallThatDrainCannotHoldIsFree guards against keys that can't be used again though their call was never sent.
func TestClaimOfCallThatDrainCannotHoldIsFree(t *testing.T) {
	s := newStopTest(t, 5*time.Second)
	permits := s.Services["permits-1"]
	slowClaims := fault.Rule{Kind: standinplatform.Slow, Path: "/table/poplarshore/claims/", DelayMs: 1000}
	s.Expect(s.Platform.Faults.Add(slowClaims)).To(Succeed())
	text := request(http.MethodPost, permitsIssue, "Idempotency-Key: one\r\n", permitBody)
	c := s.send(text)
	s.awaitInjected(s.Platform.Faults, standinplatform.Slow)
	s.beginStop()
	s.expectDrainingRefusal(c)
	s.Platform.Faults.Clear()
	s.Eventually(s.stopped, stopTestTimeout).Should(Receive(BeZero()))
	a := s.readAnswer(s.sendTo("vm-2", text))
	s.Expect(a.status).To(Equal(http.StatusCreated), fmt.Sprint(a))
	s.Expect(permits.Counts().Runs).To(BeEquivalentTo(1))
}

// TestStreamBrokenOffByDrainIsResumedElsewhere guards against a stop that cancels a run whose rest its caller reads at
// another VM: it is refused there with stream_unknown.
func TestStreamBrokenOffByDrainIsResumedElsewhere(t *testing.T) {
	RegisterTestingT(t)
	s := newStopTestWithTokenTime(t, 300*time.Millisecond, 100*time.Millisecond)
	faults := s.Engines["strong-1"].Faults
	s.Expect(faults.Add(fault.Rule{Kind: engine.Stall, AfterPieces: 3, Count: 1})).To(Succeed())
	stream := s.send(request(http.MethodPost, "/v1/completions", "", `{"model":"strong","prompt":"x","stream":true}`))
	s.awaitInjected(faults, engine.Stall)
	s.startStop()
	brokenOff := s.readAnswer(stream)
	s.Expect(brokenOff.whole).To(BeFalse())
	s.Eventually(s.stopped, stopTestTimeout).Should(Receive(Equal(1)))
	c := &caller.Caller{Address: s.VM("vm-2").CallersAddress(), Key: demoKey}
	rest, err := c.Resume(t.Context(), brokenOff.resumeToken, "2")
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(rest.Status).To(Equal(http.StatusOK), "%s", rest.Body)
	s.Expect(rest.Complete).To(BeTrue())
	s.Expect(rest.Pieces).To(BeNumerically(">", 0))
	s.Expect(s.Engines["strong-1"].Counts().Cancels).To(BeZero())
	s.Expect(ledgerEntries(s.Environment)).To(HaveLen(1))
	s.Expect(settledTotals(s.Environment).Requests).To(BeEquivalentTo(1))
}
