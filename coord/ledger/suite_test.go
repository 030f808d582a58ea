package ledger_test

import (
	"context"
	"flag"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/coord/store/memory"
	"github.com/poplarshore/poplarshore/internal/bubble"
)

const (
	prefix  = "env"
	account = "quarry/north"
)

var suite *testing.T

func TestLedger(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	Expect(flag.Set("rapid.checks", "50")).To(Succeed())
	RunSpecs(t, "ledger")
}

// inSyncTest runs f in a synctest bubble, with virtual time.
func inSyncTest(f func(g *WithT)) {
	bubble.Test(suite, func(t *testing.T) { f(NewWithT(t)) })
}

// entry returns the entry of a request with two attempts, an amount of id and a cost of 3.
func entry(id int) ledger.Entry {
	return ledger.Entry{
		RequestID: fmt.Sprint("r", id),
		Account:   account,
		Amount:    ledger.Micros(id),
		Attempts:  []ledger.Attempt{{Cost: 1}, {Cost: 2, Delivered: true}},
		Time:      time.Now(),
	}
}

// runningWriter is a writer whose Run can be stopped, as by a crash of its process.
type runningWriter struct {
	*ledger.Writer
	kill context.CancelFunc
}

// startWriter starts a writer with a backlog of 8 KiB.
func startWriter(objects *memory.Objects, incarnation string, peerHolder ledger.SegmentHolder) runningWriter {
	return startWriterWith(ledger.WriterOptions{
		Objects: objects, Incarnation: incarnation, PeerHolder: peerHolder, BacklogBytes: 8 << 10,
	})
}

// startWriterWith starts a writer with the options and the prefix of the tests.
func startWriterWith(opts ledger.WriterOptions) runningWriter {
	opts.Prefix = prefix
	w, err := ledger.NewWriter(opts)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = w.Run(ctx) }()
	return runningWriter{w, cancel}
}

// settleAndRead makes one pass and returns its report and the totals of the account.
func settleAndRead(g *WithT, table *memory.Table, objects *memory.Objects) (ledger.Report, ledger.Totals) {
	s := ledger.NewSettler(ledger.SettlerOptions{Table: table, Objects: objects, Prefix: prefix, Fence: 9})
	report, err := s.Settle(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	totals, err := s.Totals(context.Background(), account)
	g.Expect(err).NotTo(HaveOccurred())
	return report, totals
}

func contextWithTimeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// outageSwitch makes a store unavailable while it is true.
type outageSwitch struct{ atomic.Bool }

func (o *outageSwitch) injector(context.Context, memory.Op, string) memory.Fault {
	if o.Load() {
		return memory.Down
	}
	return memory.None
}
