package environment_test

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/standin/environment"
)

// TestVMsOfOneEnvironmentDoNotKnowThoseOfAnother starts two environments: a VM
// that takes the port of a killed VM of the other one must not be heard there.
func TestVMsOfOneEnvironmentDoNotKnowThoseOfAnother(t *testing.T) {
	g := NewWithT(t)
	var tokens []string
	for range 2 {
		e, err := environment.Start(t.Context(), environment.Options{Document: []byte(examples.Quickstart)})
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(e.Close)
		token, err := os.ReadFile(e.Secret("peer"))
		g.Expect(err).NotTo(HaveOccurred())
		tokens = append(tokens, string(token))
	}
	g.Expect(tokens[0]).NotTo(Equal(tokens[1]))
}
