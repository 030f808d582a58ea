package entry_test

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/entry"
	"github.com/poplarshore/poplarshore/service"
)

// readTarget reads a request with a target as an HTTP server does, or returns nil if it is refused there.
func readTarget(target string) *http.Request {
	raw := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: site.example\r\n\r\n", target)
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
	if err != nil {
		return nil
	}
	return r
}

// FuzzForwardedTargetIsTheOneThatWasSent guards against a call that is repeated by another reading of its target
// than the one that the service, or the older router, gets.
func FuzzForwardedTargetIsTheOneThatWasSent(f *testing.F) {
	for _, rest := range []string{
		"status/1", "status/A%2F1", "status/A%252F1", "status/%41?x=%zz", "status/../issue", "status/%2e%2e/issue", "/status/1", "", "?", "status/1?",
		"status/%3Fx", "status/\u00ed", "status/%c3%ad", "status/{a}|b", "status/A%00", "status/A#b", "issue/..", `status\..\issue`,
	} {
		f.Add("/services/permits/" + rest)
	}
	f.Add("/%73ervices/permits/status/1")
	f.Add("http://other.example/services/permits/status/1")
	permits := service.Service{Idempotent: []service.CallPattern{{Method: "POST", Path: "/status/*"}}}
	// Of "/services/permits" the mux redirects to the path with a slash, and forwards nothing.
	f.Add("/services/permits")
	mux := http.NewServeMux()
	mux.HandleFunc("/services/{service}/{path...}", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) })
	f.Fuzz(func(t *testing.T, target string) {
		r := readTarget(target)
		if r == nil || entry.CheckTarget(r) != nil {
			return
		}
		recorder := httptest.NewRecorder()
		if mux.ServeHTTP(recorder, r); recorder.Code != http.StatusAccepted {
			return
		}
		for prefix, viaOldRouter := range map[string]bool{"/base": true, "": false} {
			sent, err := entry.ForwardedTarget(r, "http://10.0.0.1:80"+prefix+"/", viaOldRouter)
			if err != nil {
				t.Fatal(err)
			}
			if viaOldRouter && sent != prefix+target {
				t.Fatalf("the older router gets %q for %q", sent, target)
			}
			if !viaOldRouter && (!strings.HasSuffix(target, sent) || strings.Count(target, "/") != strings.Count(sent, "/")+2) {
				t.Fatalf("the service gets %q for %q", sent, target)
			}
			raw, _, _ := strings.Cut(sent, "?")
			if !viaOldRouter && permits.Repeatable("POST", raw) != permits.Repeatable("POST", entry.ServicePath(r)) {
				t.Fatalf("%q is classified by %q", sent, entry.ServicePath(r))
			}
		}
	})
}

// TestFingerprintPathsDifferWhereTargetsDo guards against a stored result that is given to another request, and
// against keys of builds that took the decoded path which are refused as reused.
func TestFingerprintPathsDifferWhereTargetsDo(t *testing.T) {
	g := NewWithT(t)
	g.Expect(entry.FingerprintPath("/issue")).To(Equal("/issue"))
	g.Expect(entry.FingerprintPath("/a%20b")).To(Equal("/a b"), "as older builds take it")
	seen := make(map[string]string)
	for _, path := range []string{"/A/1", "/A%2F1", "/A%252F1", "/A%2f1", "/%41/1", "/a%20b"} {
		print := entry.FingerprintPath(path)
		g.Expect(seen).NotTo(HaveKey(print), path)
		seen[print] = path
	}
}
