package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"runtime/debug"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/coord/store/memory"
	"github.com/poplarshore/poplarshore/internal/operator"
)

const (
	// token is the operator token of the test's server.
	token = "operator-token-of-the-test"
	// childVariable is set in the environment of a child process of a test.
	childVariable = "POPLARSHORE_TEST_CHILD"
	// childStackBytes is the maximum size of a stack in a child process, 64 MiB. A stack
	// overflow then needs less memory than with the default of 1 GB.
	childStackBytes = 64 << 20
)

// newServer returns the handler of an operator port over an empty store.
func newServer() *operator.Server {
	clock := clockwork.NewFakeClock()
	node := revision.NewNode(revision.Options{ID: "a", Clock: clock})
	return operator.New(operator.Options{
		Token: []byte(token), Node: node, Clock: clock, Registry: prometheus.NewRegistry(),
		Publisher: revision.NewPublisher(revision.PublisherOptions{
			Table: memory.NewTable(), Objects: memory.NewObjects(), Prefix: "test", Node: node, Clock: clock,
		}),
		Ready:   func() (string, bool) { return "ready", true },
		Status:  func() any { return nil },
		History: func(context.Context) ([]revision.Revision, error) { return nil, nil },
	})
}

// post posts a body with the operator token and returns the status and the problem.
func post(server http.Handler, path, body string) (int, operator.Problem) {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set(operator.HeaderBase, "0")
	r.Header.Set(operator.HeaderOperation, "op-1")
	w := httptest.NewRecorder()
	server.ServeHTTP(w, r)
	var p operator.Problem
	_ = json.Unmarshal(w.Body.Bytes(), &p)
	return w.Code, p
}

// Guards against one request that ends the process of the operator port: a stack overflow
// can't be recovered from, so a child process serves it.
func TestDeeplyNestedDocumentIsAnsweredWithItsFault(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		debug.SetMaxStack(childStackBytes)
		postNestedDocuments(t)
		return
	}
	child := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	child.Env = append(os.Environ(), childVariable+"=1")
	if out, err := child.CombinedOutput(); err != nil {
		t.Fatalf("the process that serves the request: %v\n%s", err, out[:min(len(out), 1000)])
	}
}

func postNestedDocuments(t *testing.T) {
	server := newServer()
	for _, body := range []string{
		strings.Repeat("[", 2_000_000), strings.Repeat(`{"a":`, 2_000_000), strings.Repeat("[", 10_000),
	} {
		status, p := post(server, "/operator/v1/document", body)
		if status != http.StatusUnprocessableEntity || p.Code != "invalid_document" || len(p.Faults) != 1 || p.Faults[0].Line != 1 {
			t.Errorf("%.5q…: status %d, %+v", body, status, p)
		}
		if status, _ := post(server, "/operator/v1/edit", body); status != http.StatusBadRequest {
			t.Errorf("edit %.5q…: status %d", body, status)
		}
	}
}
