package controld_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/internal/controld"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/standin/caller"
	"github.com/poplarshore/poplarshore/standin/environment"
)

func TestControld(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "controld")
}

// startControl starts a control daemon for the environment that settles every 10 ms.
func startControl(ctx context.Context, e *environment.Environment) *controld.Daemon {
	s := settings.DefaultControl()
	s.VM.ID, s.VM.Domain, s.VM.Region = "vm-1", "local-1", "local"
	s.Operators.Address = "127.0.0.1:0"
	url := e.Platform.URL()
	s.Platform.Table, s.Platform.Objects, s.Platform.VMList = url, url, url
	s.Upstreams, s.Jobs.SettlePeriodMS = e.Addresses, 10
	d, err := controld.New(s, slog.New(slog.NewTextHandler(io.Discard, nil)), clockwork.NewRealClock())
	Expect(err).NotTo(HaveOccurred())
	Expect(d.Start(ctx)).To(Succeed())
	return d
}

// billedTotals returns the demo account's totals from the operator interface of vm-1.
func billedTotals(e *environment.Environment) ledger.Totals {
	req, err := http.NewRequest(http.MethodGet, "http://"+e.VM("vm-1").OperatorsAddress()+"/operator/v1/ledger/demo", nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+environment.OperatorToken)
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var t ledger.Totals
	Expect(json.NewDecoder(resp.Body).Decode(&t)).To(Succeed())
	return t
}

var _ = Describe("settlement", func() {
	It("updates the totals shown to operators, also after another process has taken over the job", func() {
		ctx := context.Background()
		e, err := environment.Start(ctx, environment.Options{
			Document: examples.Quickstart, VMs: []environment.VM{{ID: "vm-1", Domain: "local-1"}},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		c := &caller.Caller{Address: e.VM("vm-1").CallersAddress(), Key: "demo-key", Client: &http.Client{Transport: &http.Transport{}}}
		for n := int64(1); n <= 2; n++ {
			a, err := c.Chat(ctx, caller.NewRequest("cheap", "plan", false), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Complete).To(BeTrue())
			d := startControl(ctx, e)
			Eventually(func() int64 { return billedTotals(e).Requests }, "1m").Should(Equal(n))
			d.Stop()
		}
		Expect(billedTotals(e).Amount).To(BeNumerically(">", 0))
	})
})
