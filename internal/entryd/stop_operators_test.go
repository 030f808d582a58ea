package entryd_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/internal/operator"
	"github.com/poplarshore/poplarshore/standin/environment"
	"github.com/poplarshore/poplarshore/standin/fault"
	standinplatform "github.com/poplarshore/poplarshore/standin/platform"
)

// postDocument sends a changed document to the operator port of vm-1, and returns once the store is asked to keep it,
// which takes the given time.
func (s *stopTest) postDocument(storeDelay time.Duration) net.Conn {
	slow := fault.Rule{Kind: standinplatform.Slow, Path: "/objects", DelayMs: storeDelay.Milliseconds(), Count: 1}
	s.Expect(s.Platform.Faults.Add(slow)).To(Succeed())
	document := strings.Replace(string(examples.Quickstart), `"current": "v1"`, `"current": "v2"`, 1)
	text := request(http.MethodPost, "/operator/v1/document", operator.HeaderBase+": 1\r\n"+operator.HeaderOperation+": change\r\n", document)
	text = strings.Replace(text, demoKey, environment.OperatorToken, 1)
	c := s.sendToAddress(s.VM("vm-1").OperatorsAddress(), text)
	s.awaitInjected(s.Platform.Faults, standinplatform.Slow)
	return c
}

// TestDocumentPostIsAnsweredDuringStop guards against operators who don't learn that their document was accepted.
func TestDocumentPostIsAnsweredDuringStop(t *testing.T) {
	s := newStopTest(t, time.Second)
	post := s.postDocument(1200 * time.Millisecond)
	s.startStop()
	a := s.readAnswer(post)
	s.Expect(a.status).To(Equal(http.StatusOK), a.body)
	s.Expect(a.body).To(ContainSubstring(`"number":2`))
	s.Eventually(s.stopped, stopTestTimeout).Should(Receive(BeZero()))
}

// TestDocumentPostThatStopEndsIsToldSo guards against operators who don't learn whether a document that the stop can't
// wait for was accepted.
func TestDocumentPostThatStopEndsIsToldSo(t *testing.T) {
	s := newStopTest(t, time.Second)
	post := s.postDocument(time.Minute)
	s.startStop()
	a := s.readAnswer(post)
	s.Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.body)
	s.Expect(a.body).To(ContainSubstring("nothing was accepted"))
	s.Eventually(s.stopped, stopTestTimeout).Should(Receive(BeZero()))
	s.Expect(s.VM("vm-2").RevisionNumber()).To(BeEquivalentTo(1))
}
