package entry_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/entry"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/refusal"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

var _ = Describe("The table of refusal reasons", func() {
	It("is the same in docs/API.md as in the code", func() {
		page, err := os.ReadFile("../../docs/API.md")
		Expect(err).NotTo(HaveOccurred())
		_, after, _ := strings.Cut(string(page), "<!-- refusals -->\n")
		table, _, _ := strings.Cut(after, "<!-- end -->")
		Expect(table).To(Equal(refusal.Markdown()))
	})
})

func FuzzDecodeCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[],"stream":true,"max_tokens":1}`), true)
	f.Add([]byte(`{"model":"m","prompt":"x","max_completion_tokens":2}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		request, err := entry.DecodeCompletion(body, chat, entry.Options{MaxTokens: 10, DefaultTokens: 5})
		if err != nil {
			if refusal.FromError(err).Reason == refusal.InternalFault {
				t.Fatalf("invalid input must not be an internal fault: %v", err)
			}
			return
		}
		if request.MaxTokens < 1 || request.MaxTokens > 10 || request.Model == "" {
			t.Fatalf("accepted an invalid request: %+v", request)
		}
		if _, err := request.Body(model.Ref{Model: "m", Version: "v"}); err != nil {
			t.Fatal(err)
		}
	})
}
