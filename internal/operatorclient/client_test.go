package operatorclient_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/operatorclient"
)

// respond returns a client of a server that answers every request with the status and body.
func respond(t *testing.T, status int, body []byte) *operatorclient.Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	return &operatorclient.Client{URLs: []string{server.URL}, HTTP: server.Client()}
}

// TestServerErrorWithoutCodeLeavesOutcomeUnknown guards against a gateway error before a VM that
// is reported as a refusal although the change may have been accepted.
func TestServerErrorWithoutCodeLeavesOutcomeUnknown(t *testing.T) {
	g := NewWithT(t)
	_, err := respond(t, http.StatusBadGateway, []byte("bad gateway")).Propose(context.Background(), operatorclient.Proposal{})
	g.Expect(errorx.IsOfType(err, operatorclient.ErrUnknown)).To(BeTrue(), "%v", err)
	_, err = respond(t, http.StatusForbidden, nil).Propose(context.Background(), operatorclient.Proposal{})
	g.Expect(errorx.IsOfType(err, operatorclient.ErrRefused)).To(BeTrue(), "%v", err)
	_, err = respond(t, http.StatusConflict, []byte(`{"code":"conflict"}`)).Propose(context.Background(), operatorclient.Proposal{})
	g.Expect(errorx.IsOfType(err, operatorclient.ErrConflict)).To(BeTrue(), "%v", err)
}

// TestResponseOverTheLimitIsAnError guards against a document that is cut off at the limit and
// used as if it were whole.
func TestResponseOverTheLimitIsAnError(t *testing.T) {
	g := NewWithT(t)
	_, err := respond(t, http.StatusOK, bytes.Repeat([]byte(" "), 32<<20+1)).Document(context.Background())
	g.Expect(errorx.IsOfType(err, operatorclient.ErrUnknown)).To(BeTrue(), "%v", err)
}
