package quarantine_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/quarantine"
)

func TestKeyTextRoundTrips(t *testing.T) {
	g := NewWithT(t)
	key := quarantine.NewDigester("secret").Part("aa")
	text, err := json.Marshal(map[quarantine.Key]bool{key: true})
	g.Expect(err).NotTo(HaveOccurred())
	var read map[quarantine.Key]bool
	g.Expect(json.Unmarshal(text, &read)).To(Succeed())
	g.Expect(read).To(HaveKey(key))
}

func TestInvalidKeyTextIsRejected(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"", "part", "part-", "-12", "part-xyz"} {
		var key quarantine.Key
		g.Expect(key.UnmarshalText([]byte(text))).NotTo(Succeed(), text)
	}
}

func TestKeyDependsOnSecretAndPart(t *testing.T) {
	g := NewWithT(t)
	a := quarantine.NewDigester("a")
	g.Expect(a.Part("x")).To(Equal(quarantine.NewDigester("a").Part("x")))
	g.Expect(a.Part("x")).NotTo(Equal(a.Part("y")))
	g.Expect(a.Part("x")).NotTo(Equal(quarantine.NewDigester("b").Part("x")))
}
