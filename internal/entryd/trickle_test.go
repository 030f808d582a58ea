package entryd_test

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/standin/caller"
	"github.com/poplarshore/poplarshore/standin/endless"
	"github.com/poplarshore/poplarshore/standin/environment"
)

// withOldRouter returns the document of the quick start with an older router that serves all requests.
func withOldRouter() []byte {
	text := bytes.Replace(examples.Quickstart, []byte(`"upstreams": [`),
		[]byte(`"upstreams": [{"id": "old-router", "kind": "old_router", "domain": "local-1"},`), 1)
	return bytes.Replace(text, []byte(`"session": {`),
		[]byte(`"takeover": {"old_router": "old-router", "quiet_seconds": 120, "rules": [{"share": 0}]}, "session": {`), 1)
}

// TestOldRouterThatTricklesIsGivenUpAtDeadline guards against requests that last for as long as the older router sends a byte
// now and then.
func TestOldRouterThatTricklesIsGivenUpAtDeadline(t *testing.T) {
	const deadlineMS, givenUpWithin = "1000", 5 * time.Second
	g := NewWithT(t)
	server, err := endless.Listen(endless.Response{Start: "HTTP/1.1 200 OK\r\n\r\n", Part: " ", Interval: 50 * time.Millisecond})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	e, err := environment.Start(t.Context(), environment.Options{
		Document: withOldRouter(),
		VMs: []environment.VM{{ID: "vm-1", Domain: "local-1", ConfigureSettings: func(s *settings.Entry) {
			s.Upstreams = replaceUpstream(s.Upstreams, "old-router", server.URL())
		}}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(e.Close)
	c := &caller.Caller{Address: e.VM("vm-1").CallersAddress(), Key: demoKey, Client: &http.Client{Transport: &http.Transport{}}}
	ctx, cancel := context.WithTimeout(t.Context(), givenUpWithin)
	defer cancel()
	a, err := c.Chat(ctx, caller.NewRequest("cheap", "one", false), map[string]string{"Poplarshore-Deadline-Ms": deadlineMS})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the entry ends the request, not its caller")
	g.Expect(a.Complete).To(BeFalse())
}
