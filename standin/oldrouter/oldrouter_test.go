package oldrouter_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/oldrouter"
	"github.com/poplarshore/poplarshore/standin/service"
)

func TestOldRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "older router stand-in")
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return l
}

var _ = Describe("Older router", func() {
	It("forwards to engines and services, bills complete responses and rejects loops", func() {
		modelEngine := engine.Start(listen(), engine.Options{Versions: []engine.VersionRef{{Model: "cheap", Version: "v1"}}})
		DeferCleanup(modelEngine.Close)
		permitService := service.Start(listen(), service.Options{})
		DeferCleanup(permitService.Close)
		router := oldrouter.Start(listen(), oldrouter.Options{
			Models:   map[string]string{"cheap": "cheap@v1"},
			Engines:  []string{modelEngine.URL()},
			Services: map[string]string{"permits": permitService.URL()},
		})
		DeferCleanup(router.Close)
		post := func(path, body, via string) (int, string) {
			request, err := http.NewRequest(http.MethodPost, router.URL()+path, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Authorization", "Bearer k1")
			request.Header.Set("Via", via)
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			text, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.Header.Get("Via")).To(Equal("old-router"))
			return response.StatusCode, string(text)
		}
		status, text := post("/v1/completions", `{"model":"cheap","prompt":"x","stream":true,"max_tokens":5}`, "")
		Expect(status).To(Equal(http.StatusOK))
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
		status, _ = post("/services/permits/issue", "corner 5", "")
		Expect(status).To(Equal(http.StatusCreated))
		Expect(permitService.Counts().RunsByBody["corner 5"]).To(Equal(1))
		status, _ = post("/v1/completions", `{"model":"cheap"}`, "old-router")
		Expect(status).To(Equal(http.StatusLoopDetected))
		Expect(router.Counts().Bills["k1"]).To(Equal(oldrouter.Bill{Requests: 2, Tokens: 5}))
		Expect(router.Counts().Loops).To(BeEquivalentTo(1))
	})
})
