package environment_test

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/standin/environment"
)

// TestEnvironmentsHaveDifferentPeerTokens guards against VMs that join the wrong environment: a VM may
// listen on the port that a killed VM of another environment used, and then receives messages from the
// peers of that VM. Different peer tokens make both sides reject them.
func TestEnvironmentsHaveDifferentPeerTokens(t *testing.T) {
	g := NewWithT(t)
	var tokens []string
	for range 2 {
		e, err := environment.Start(t.Context(), environment.Options{Document: []byte(examples.Quickstart)})
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(e.Close)
		token, err := os.ReadFile(e.SecretFile("peer"))
		g.Expect(err).NotTo(HaveOccurred())
		tokens = append(tokens, string(token))
	}
	g.Expect(tokens[0]).NotTo(Equal(tokens[1]))
}
