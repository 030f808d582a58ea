package entryd_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/internal/operator"
	"github.com/poplarshore/poplarshore/platform"
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

// TestStoppingVMHoldsNoSegments guards against billing records of another VM that are lost: a VM that had sent its own
// segments away in its stop accepted others' until it ended.
func TestStoppingVMHoldsNoSegments(t *testing.T) {
	s := newStopTest(t, time.Second)
	token, err := os.ReadFile(s.SecretFile("peer"))
	s.Expect(err).NotTo(HaveOccurred())
	address := s.VM("vm-1").PeersAddress()
	accepted := make(chan bool, 100)
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/peer/v1/ledger" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		segment, _ := io.ReadAll(r.Body)
		accepted <- holdAt(address, string(token), segment)
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(peer.Close)
	// The only other VM in the list is the peer above.
	s.StopVM("vm-2")
	s.Platform.SetMember(platform.Member{
		ID: "vm-2", Address: strings.TrimPrefix(peer.URL, "http://"), Domain: "local-1", State: platform.MemberLive,
	})
	s.Eventually(s.VM("vm-1").Peers, stopTestTimeout).Should(HaveLen(1))
	s.Expect(s.Platform.Faults.Add(fault.Rule{Kind: standinplatform.Unavailable, Path: "/objects"})).To(Succeed())
	s.Expect(s.readAnswer(s.send(request(http.MethodPost, permitsIssue, "", permitBody))).status).To(Equal(http.StatusCreated))
	s.StopVM("vm-1")
	s.Expect(accepted).To(Receive(BeFalse()))
}

// holdAt asks a VM to hold a segment, and reports whether it accepts it.
func holdAt(address, token string, segment []byte) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/peer/v1/ledger", strings.NewReader(string(segment)))
	if err != nil || !json.Valid(segment) {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}
