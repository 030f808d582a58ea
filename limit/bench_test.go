package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/vm"
)

// newLoadedLimiter returns a limiter that has received a report with the demand of
// every account from each of the other VMs.
func newLoadedLimiter(accounts, vms int) (*limit.Limiter, []account.ID) {
	l := limit.New(limit.DefaultOptions("vm0", "x"))
	var ids []account.ID
	report := limit.Report{Incarnation: "x", Seq: 1}
	for i := range accounts {
		ids = append(ids, account.ID(fmt.Sprintf("a%04d", i)))
		report.Accounts = append(report.Accounts, limit.AccountDemand{Account: ids[i], Demand: 0.1 / float64(vms)})
	}
	members := make([]vm.ID, vms)
	for i := range members {
		members[i] = vm.ID(fmt.Sprintf("vm%d", i))
	}
	l.SetMembers(members)
	for _, id := range members[1:] {
		report.VM = id
		l.Observe(report, start)
	}
	return l, ids
}

// BenchmarkAdmit admits and settles requests at 1,000 requests per second of virtual
// time.
func BenchmarkAdmit(b *testing.B) {
	limits := contract.Limits{RequestsPerSecond: 1e9, TokensPerSecond: 1e12, Concurrency: 1e9}
	for _, size := range []struct{ accounts, vms int }{{10, 7}, {1000, 7}, {10, 200}, {10, 2000}} {
		b.Run(fmt.Sprintf("accounts=%d/vms=%d", size.accounts, size.vms), func(b *testing.B) {
			l, ids := newLoadedLimiter(size.accounts, size.vms)
			b.ReportAllocs()
			now, n := start, 0
			for b.Loop() {
				now, n = now.Add(time.Millisecond), n+1
				t, err := l.Admit(ids[n%len(ids)], limits, limit.Estimate{Tokens: 100}, now)
				if err != nil {
					b.Fatal(err)
				}
				t.Settle(120, now)
			}
		})
	}
}

// BenchmarkReports processes one report from every other VM and creates one report.
func BenchmarkReports(b *testing.B) {
	for _, vms := range []int{7, 200} {
		b.Run(fmt.Sprintf("accounts=10/vms=%d", vms), func(b *testing.B) {
			l, ids := newLoadedLimiter(10, vms)
			report := limit.Report{Incarnation: "x", Seq: 1}
			for _, id := range ids {
				report.Accounts = append(report.Accounts, limit.AccountDemand{Account: id, Demand: 0.02})
			}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				report.Seq++
				for i := 1; i < vms; i++ {
					report.VM = vm.ID(fmt.Sprintf("vm%d", i))
					l.Observe(report, now)
				}
				l.Report(now)
			}
		})
	}
}
