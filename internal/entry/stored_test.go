package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/refusal"
)

// expectNotSent expects that the caller of a key gets nothing of what is stored for it.
func expectNotSent(t *testing.T, stored storedResponse) {
	t.Helper()
	g := NewWithT(t)
	result, err := json.Marshal(stored)
	g.Expect(err).NotTo(HaveOccurred())
	w := httptest.NewRecorder()
	err = (&Server{}).sendStored(&serviceCall{exchange: &Exchange{}, viaOldRouter: true}, w, result)
	g.Expect(refusal.FromError(err).Reason).To(Equal(refusal.OutcomeUnknown), "%s: %v", result, err)
	g.Expect(w.Body.String()).To(BeEmpty())
}

// TestStoredAnswerWithoutStatusOfHTTPIsNotSent guards against answers that an older build stored although their status is none.
func TestStoredAnswerWithoutStatusOfHTTPIsNotSent(t *testing.T) {
	for _, status := range []int{-9, 0, 20, 99, http.StatusSwitchingProtocols, 600, 999} {
		expectNotSent(t, storedResponse{Status: status, Body: []byte("body"), Request: "r"})
	}
}

// TestStoredAnswerWithOddFieldNameIsNotSent guards against answers that an older build stored although the name of a field is none:
// what it stored need not be the body of the answer.
func TestStoredAnswerWithOddFieldNameIsNotSent(t *testing.T) {
	for _, name := range []string{"X-Probe Foo", "X-Probe ", "Content-Length ", ""} {
		expectNotSent(t, storedResponse{Status: http.StatusOK, Header: http.Header{name: {"1"}}, Body: []byte("body"), Request: "r"})
	}
}
