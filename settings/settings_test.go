package settings_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

var _ = Describe("settings files", func() {
	It("parses the output of Print, which has a comment for every field", func() {
		var out bytes.Buffer
		want := settings.DefaultEntry()
		want.VM = settings.VM{ID: "v", Domain: "d", Region: "r"}
		want.Platform.Table, want.Platform.Objects, want.Platform.VMList = "http://t", "http://o", "http://l"
		want.PeerTokenFile, want.OperatorTokenFile = "p", "o"
		want.Upstreams = settings.Addresses{}
		want.SessionKeyFiles = map[string]string{}
		Expect(settings.Print(&out, want)).To(Succeed())
		got := settings.DefaultEntry()
		Expect(settings.Parse(out.Bytes(), got)).To(Succeed())
		Expect(got).To(Equal(want))
		fields := bytes.Count(out.Bytes(), []byte(`": `))
		Expect(bytes.Count(out.Bytes(), []byte("// "))).To(BeNumerically(">=", fields))
	})

	It("parses the output of Print for a gateway's settings", func() {
		var out bytes.Buffer
		want := settings.DefaultGateway()
		want.VM = settings.VM{ID: "v", Domain: "d", Region: "r"}
		want.Regions = map[domain.ID]domain.Region{"d": "r"}
		want.Store.Address = "10.0.0.1:80"
		Expect(settings.Print(&out, want)).To(Succeed())
		got := settings.DefaultGateway()
		Expect(settings.Parse(out.Bytes(), got)).To(Succeed())
		Expect(got).To(Equal(want))
	})

	It("takes a bound for changes that is too short as the shortest that can be met", func() {
		c := settings.Changes{ConfigMS: 900, DrainMS: 4000}
		Expect(c.Bound()).To(Equal(2 * time.Second))
		c.ConfigMS = 3500
		Expect(c.Bound()).To(Equal(3500 * time.Millisecond))
	})

	It("reports missing and invalid settings of a gateway", func() {
		err := settings.Parse([]byte(`{"vm": {"id": "v", "domain": "d", "region": "r"}, "hints": "x",
  "stop": {"take_s": 5, "grace_s": 5}}`), settings.DefaultGateway())
		Expect(err).To(MatchError(And(
			ContainSubstring("regions: must name the region"), ContainSubstring("store.address: must be host:port"),
			ContainSubstring("1:60: hints: must be host:port"), ContainSubstring("stop.grace_s: must be over"),
		)))
	})

	It("reports all faults of a file with line and column", func() {
		err := settings.Parse([]byte(`{
  "callers": {"address": "0.0.0.0:80"},
  "requests": {"max_tokens": 0},
  "log": {"format": "xml"},
}`), settings.DefaultEntry())
		Expect(err).To(MatchError(And(
			ContainSubstring("vm.id: is required"),
			ContainSubstring("2:14: callers: needs tls"),
			ContainSubstring("3:30: requests.max_tokens: must be over 0"),
			ContainSubstring("4:21: log.format: must be"),
		)))
	})

	It("returns errors that do not contain the secret", func() {
		path := filepath.Join(GinkgoT().TempDir(), "key")
		Expect(os.WriteFile(path, []byte("hunter2"), 0o600)).To(Succeed())
		_, err := settings.Secret(path)
		Expect(err).To(HaveOccurred())
		Expect(err.Error()).NotTo(ContainSubstring("hunter2"))
		Expect(os.WriteFile(path, []byte(" 0123456789abcdef\n"), 0o600)).To(Succeed())
		Expect(settings.Secret(path)).To(Equal([]byte("0123456789abcdef")))
	})
})
