package platform_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/store"
	ports "github.com/poplarshore/poplarshore/platform"
	"github.com/poplarshore/poplarshore/platform/httplist"
	"github.com/poplarshore/poplarshore/platform/httprater"
	"github.com/poplarshore/poplarshore/platform/httpstore"
	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/standin/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform stand-in and clients")
}

// beErrorOfType succeeds if the error is of the type or of one of its subtypes.
func beErrorOfType(t *errorx.Type) OmegaMatcher {
	return WithTransform(func(err error) bool { return errorx.IsOfType(err, t) }, BeTrue())
}

var _ = Describe("Platform over HTTP", func() {
	var (
		ctx     = context.Background()
		clock   *clockwork.FakeClock
		server  *platform.Server
		table   *httpstore.Table
		objects *httpstore.Objects
	)
	BeforeEach(func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		clock = clockwork.NewFakeClock()
		server = platform.Start(l, platform.Options{Clock: clock, ListLag: time.Minute})
		DeferCleanup(server.Close)
		table = httpstore.NewTable(httpstore.Options{BaseURL: server.URL()})
		objects = httpstore.NewObjects(httpstore.Options{BaseURL: server.URL()})
	})

	It("stores rows under any valid key and changes them only at the expected version", func() {
		for _, key := range []string{"plain", "a/b//c", "sp ace?x=1#%2F", "日"} {
			v1, err := table.Insert(ctx, key, []byte("1"))
			Expect(err).NotTo(HaveOccurred(), key)
			_, err = table.Insert(ctx, key, []byte("2"))
			Expect(err).To(beErrorOfType(store.ErrExists))
			v2, err := table.Update(ctx, key, []byte("3"), v1)
			Expect(err).NotTo(HaveOccurred())
			_, err = table.Update(ctx, key, []byte("4"), v1)
			Expect(err).To(beErrorOfType(store.ErrConflict))
			Expect(table.Get(ctx, key)).To(Equal(store.Row{Key: key, Value: []byte("3"), Version: v2}))
			Expect(table.Delete(ctx, key, v1)).To(beErrorOfType(store.ErrConflict))
			Expect(table.Delete(ctx, key, v2)).To(Succeed())
			_, err = table.Get(ctx, key)
			Expect(err).To(beErrorOfType(store.ErrNotFound))
		}
		_, err := table.Get(ctx, "..")
		Expect(err).To(beErrorOfType(store.ErrInvalid))
	})

	It("lists rows and objects in pages and refuses to replace an object", func() {
		for _, key := range []string{"p/1", "p/2", "p/3", "q"} {
			_, err := table.Insert(ctx, key, []byte{0, 255})
			Expect(err).NotTo(HaveOccurred())
			Expect(objects.Create(ctx, key, []byte(key))).To(Succeed())
		}
		rows, err := table.Scan(ctx, "p/", "p/1", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(1))
		Expect(rows[0].Key).To(Equal("p/2"))
		Expect(rows[0].Value).To(Equal([]byte{0, 255}))
		Expect(objects.List(ctx, "p/", "p/1", 5)).To(Equal([]string{"p/2", "p/3"}))
		Expect(objects.Create(ctx, "q", nil)).To(beErrorOfType(store.ErrExists))
		Expect(objects.Delete(ctx, "q")).To(Succeed())
		_, err = objects.Get(ctx, "q")
		Expect(err).To(beErrorOfType(store.ErrNotFound))
	})

	DescribeTable("distinguishes a refused write from one of unknown outcome, and never retries it",
		func(kind fault.Kind, want *errorx.Type, applied bool) {
			_, err := table.Get(ctx, "warm the connection up")
			Expect(err).To(beErrorOfType(store.ErrNotFound))
			Expect(server.Faults.Add(fault.Rule{Kind: kind, Count: 1})).To(Succeed())
			_, err = table.Insert(ctx, "k", []byte("v"))
			Expect(err).To(beErrorOfType(want))
			Expect(server.Faults.Report().Injected[kind]).To(BeEquivalentTo(1))
			rows, err := server.Table.Scan(ctx, "k", "", 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(rows) == 1).To(Equal(applied))
			Expect(server.Counts().TableWrites <= 1).To(BeTrue())
		},
		Entry("down", platform.Unavailable, store.ErrUnavailable, false),
		Entry("request lost", platform.RequestLost, store.ErrUnknown, false),
		Entry("reply lost", platform.ReplyLost, store.ErrUnknown, true),
	)

	It("reports ErrUnavailable when the store can't be reached", func() {
		Expect(server.Close()).To(Succeed())
		_, err := table.Insert(ctx, "k", nil)
		Expect(err).To(beErrorOfType(store.ErrUnavailable))
	})

	It("shows changes of the VM list after ListLag", func() {
		list := httplist.New(httplist.Options{BaseURL: server.URL()})
		server.SetMember(ports.Member{ID: "vm-1", State: ports.MemberLive})
		Expect(list.List(ctx)).To(BeEmpty())
		clock.Advance(time.Minute)
		Expect(list.List(ctx)).To(HaveLen(1))
		server.RemoveMember("vm-1")
		Expect(list.List(ctx)).To(HaveLen(1))
	})

	It("rates answers, and reports ErrUnrated for a missing rating and ErrUnavailable when down", func() {
		rater := httprater.New(httprater.Options{BaseURL: server.URL()})
		good, err := rater.Rate(ctx, ports.RatingRequest{Answer: "fine"})
		Expect(err).NotTo(HaveOccurred())
		poor, err := rater.Rate(ctx, ports.RatingRequest{Answer: platform.PoorAnswerPrefix + " text"})
		Expect(err).NotTo(HaveOccurred())
		Expect(good.Score).To(BeNumerically(">", poor.Score))
		Expect(server.Faults.Add(fault.Rule{Kind: platform.RatingMissing, Count: 1})).To(Succeed())
		_, err = rater.Rate(ctx, ports.RatingRequest{})
		Expect(err).To(beErrorOfType(ports.ErrUnrated))
		Expect(server.Faults.Add(fault.Rule{Kind: platform.Unavailable, Count: 1})).To(Succeed())
		_, err = rater.Rate(ctx, ports.RatingRequest{})
		Expect(err).To(beErrorOfType(ports.ErrUnavailable))
	})
})
