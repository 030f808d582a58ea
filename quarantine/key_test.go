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

func TestKeyOfRequestDependsOnEachField(t *testing.T) {
	g := NewWithT(t)
	d := quarantine.NewDigester("secret")
	request := quarantine.Request{Method: "GET", Host: "h", Target: "/a", Account: "x", Body: []byte("b")}
	key := d.Request(request)
	g.Expect(d.Request(request)).To(Equal(key))
	for _, change := range []func(*quarantine.Request){
		func(r *quarantine.Request) { r.Method = "POST" },
		func(r *quarantine.Request) { r.Host = "i" },
		func(r *quarantine.Request) { r.Target, r.Account = "/", "ax" },
		func(r *quarantine.Request) { r.Account = "y" },
		func(r *quarantine.Request) { r.Body = nil },
	} {
		other := request
		change(&other)
		g.Expect(d.Request(other)).NotTo(Equal(key))
	}
}
