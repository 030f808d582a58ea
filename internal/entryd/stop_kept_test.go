package entryd_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// TestRequestThatCrossesCloseOfRestingConnectionIsRefused guards against a request that is neither answered nor refused, as a
// stop closes connections that their callers may still use.
func TestRequestThatCrossesCloseOfRestingConnectionIsRefused(t *testing.T) {
	s := newStopTest(t, stopTestTimeout)
	text := request(http.MethodGet, "/v1/models", "", "")
	resting, crossing := s.send(text), s.send(text)
	for _, c := range []net.Conn{resting, crossing} {
		s.Expect(s.readAnswer(c).status).To(Equal(http.StatusOK))
	}
	s.beginStop()
	resp, err := http.ReadResponse(bufio.NewReader(resting), nil)
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(resp.StatusCode).To(Equal(http.StatusRequestTimeout))
	s.Expect(resp.Close).To(BeTrue())
	_, err = io.WriteString(crossing, text)
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(s.readAnswer(crossing).status).To(Or(Equal(http.StatusRequestTimeout), Equal(http.StatusServiceUnavailable)))
	s.Eventually(s.stopped, stopTestTimeout).Should(Receive(BeZero()))
}

// TestAnswersAskToCloseConnectionsFromBeginOfStop guards against callers that keep connections which the stop is about to close.
func TestAnswersAskToCloseConnectionsFromBeginOfStop(t *testing.T) {
	s := newStopTest(t, stopTestTimeout)
	s.VM("vm-1").BeginStop()
	c := s.send(request(http.MethodGet, "/v1/models", "", ""))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	s.Expect(resp.Close).To(BeTrue())
}
