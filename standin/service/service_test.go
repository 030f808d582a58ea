package service_test

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/standin/service"
)

func TestService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "service stand-in")
}

// drainBody reads and closes the body, so that the connection can be reused.
func drainBody(response *http.Response) error {
	_, err := io.Copy(io.Discard, response.Body)
	return errors.Join(err, response.Body.Close())
}

// postIssue requests a permit with the attempt ID "a1" and the body "corner 5".
func postIssue(server *service.Server) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, server.URL()+"/issue", strings.NewReader("corner 5"))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("X-Attempt-Id", "a1")
	return http.DefaultClient.Do(request)
}

var _ = Describe("Service", func() {
	var server *service.Server
	BeforeEach(func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server = service.Start(l, service.Options{})
		DeferCleanup(server.Close)
	})

	It("issues permits and counts each run by attempt and content", func() {
		for range 2 {
			response, err := postIssue(server)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusCreated))
			var issued service.IssueResponse
			Expect(json.NewDecoder(response.Body).Decode(&issued)).To(Succeed())
			Expect(response.Body.Close()).To(Succeed())
			status, err := http.Get(server.URL() + "/status/" + issued.Number)
			Expect(err).NotTo(HaveOccurred())
			Expect(status.Body.Close()).To(Succeed())
			Expect(status.StatusCode).To(Equal(http.StatusOK))
		}
		Expect(server.Counts().RunsByAttempt["a1"]).To(Equal(2))
		Expect(server.Counts().RunsByBody["corner 5"]).To(Equal(2))
	})

	DescribeTable("runs the request only for faults injected after the run", func(rule fault.Rule, fails bool, runs int) {
		first, err := postIssue(server)
		Expect(err).NotTo(HaveOccurred())
		Expect(drainBody(first)).To(Succeed())
		before := server.Counts().Runs
		rule.Count = 1
		Expect(server.Faults.Add(rule)).To(Succeed())
		response, err := postIssue(server)
		Expect(err != nil).To(Equal(fails))
		if err == nil {
			Expect(response.Body.Close()).To(Succeed())
		}
		Expect(server.Faults.Report().Injected[rule.Kind]).To(BeEquivalentTo(1))
		Expect(server.Counts().Runs - before).To(BeEquivalentTo(runs))
	},
		Entry("reset before the body is read", fault.Rule{Kind: service.ResetBeforeRead}, true, 0),
		Entry("reset after the run on a reused connection", fault.Rule{Kind: service.ResetAfterRead, ReusedOnly: true}, true, 1),
		Entry("refused", fault.Rule{Kind: service.Refuse}, false, 0),
		Entry("truncated response", fault.Rule{Kind: service.TruncatedResponse}, false, 1),
		Entry("crash", fault.Rule{Kind: service.Crash}, true, 1),
	)
})
