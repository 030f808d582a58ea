package document_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/model"
)

func TestDocument(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "document")
}

var _ = Describe("Parse", func() {
	It("accepts all example documents", func() {
		for _, src := range [][]byte{examples.Quickstart, examples.PermisosViales, examples.Hsinchu} {
			_, err := document.Parse(src)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("returns the same document from Load, and Load rejects unknown fields", func() {
		for _, src := range [][]byte{examples.Quickstart, examples.PermisosViales, examples.Hsinchu} {
			parsed, err := document.Parse(src)
			Expect(err).NotTo(HaveOccurred())
			Expect(document.Load(src)).To(Equal(parsed))
			newer := strings.Replace(string(src), `"schema": 1`, `"schema": 1, "later": 2`, 1)
			_, err = document.Load([]byte(newer))
			Expect(err).To(HaveOccurred())
		}
	})

	It("compiles an index with clients, engines and links", func() {
		doc, err := document.Parse(examples.PermisosViales)
		Expect(err).NotTo(HaveOccurred())
		x := document.NewIndex(7, doc)
		client, ok := x.Client("risk-desk-key")
		Expect(ok).To(BeTrue())
		Expect(client.Contract.AllowsModel("large")).To(BeFalse())
		_, ok = x.Client("risk-desk-kez")
		Expect(ok).To(BeFalse())
		Expect(x.Engines(model.Ref{Model: "large", Version: "v1"})).To(HaveLen(3))
		Expect(x.Links.Between("noa", "pampeana").LatencyMS).To(BeNumerically(">", 0))
	})

	DescribeTable("reports faults with their position and how to correct them",
		func(old, replacement, fault string) {
			src := strings.Replace(string(examples.PermisosViales), old, replacement, 1)
			Expect(src).NotTo(Equal(string(examples.PermisosViales)), "the example does not contain %q", old)
			_, faults := document.Check([]byte(src))
			Expect(faults.Err()).To(MatchError(ContainSubstring(fault)))
			Expect(faults[0].Line).To(BeNumerically(">", 0))
		},
		Entry("schema", `"schema": 1`, `"schema": 9`, "must be 1"),
		Entry("unknown field", `"schema"`, `"scheme"`, "unknown field"),
		Entry("region", `"region": "cuyo"`, `"region": "cujo"`, `region "cujo" is not declared`),
		Entry("current version", `"current": "v1"`, `"current": "v9"`, `version "v9" is not declared`),
		Entry("cascade step", `["compact", "large"]`, `["compact", "huge"]`, `model "huge" is not declared`),
		Entry("cascade below the quality target", `"quality": 0.97`, `"quality": 0.5`, "below quality_target"),
		Entry("contract without steps", `["plan", "compact", "large"]`, `["plan"]`, "name its steps in models"),
		Entry("share over 1", `"share": 0.5`, `"share": 1.5`, "must be between 0 and 1"),
		Entry("decreasing shares", `"share": 0.5`, `"share": 0.01`, "must not be below"),
		Entry("key hash", `"key_sha256": ["`, `"key_sha256": ["zz`, "64 hexadecimal digits"),
		Entry("account's contract", `"contract": "tagging"`, `"contract": "none"`, `contract "none" is not declared`),
		Entry("engine's version", `"compact@v2"`, `"compact@v7"`, `has no version "v7"`),
		Entry("old router", `"old_router": "old-router"`, `"old_router": "engine-1"`, "is not declared"),
		Entry("negative deadline", `"deadline_ms": 20000`, `"deadline_ms": -1`, "deadline_ms: must not be negative"),
		Entry("deadline beyond the range of a duration", `"deadline_ms": 20000`, `"deadline_ms": 9300000000000`, "deadline_ms: must be at most"),
		Entry("deadline beyond the range of integers", `"deadline_ms": 20000`, `"deadline_ms": 93000000000000000000`, "deadline_ms: must be a whole number within range"),
		Entry("deadline that is no number of JSON", `"deadline_ms": 20000`, `"deadline_ms": NaN`, "invalid literal"),
		Entry("dwell", `"dwell_seconds": 1800`, `"dwell_seconds": 9223372037`, "dwell_seconds: must be at most"),
		Entry("session's lifetime", `"ttl_seconds": 28800`, `"ttl_seconds": 9223372037`, "ttl_seconds: must be at most"),
		Entry("quiet period", `"quiet_seconds": 120`, `"quiet_seconds": 9223372036854775807`, "quiet_seconds: must be at most"),
		Entry("time of change", `"quiet_seconds": 120`, `"changed_at": 9223372036854775807`, "changed_at: must be at most"),
		Entry("latency", `"latency_ms": 28`, `"latency_ms": 1e300`, "latency_ms: must be at most"),
		Entry("price", `"completion_price": 600000`, `"completion_price": 9223372036854775807`, "completion_price: must be at most"),
		Entry("negative capacity", `"capacity": 32`, `"capacity": -5`, "capacity: must not be negative"),
		Entry("capacity", `"capacity": 32`, `"capacity": 9000000000000000000`, "capacity: must be at most"),
		Entry("rate", `"requests_per_second": 20`, `"requests_per_second": 1e300`, "limits.requests_per_second: must be at most"),
		Entry("rate beyond the range of numbers", `"tokens_per_second": 20000`, `"tokens_per_second": 1e400`, "limits.tokens_per_second: must be a number"),
		Entry("concurrency", `"concurrency": 40`, `"concurrency": 9000000000000000000`, "limits.concurrency: must be at most"),
		Entry("negative weight", `"cost": 1`, `"cost": -1`, "weights.cost: must not be negative"),
		Entry("weight", `"cost": 1`, `"cost": 1e308`, "weights.cost: must be at most"),
		Entry("negative share", `"share": 0.5`, `"share": -0.5`, "must be between 0 and 1"),
		Entry("withdrawal of the last version", `"session":`, `"withdrawals": [{"version": "large@v1", "reason": "x"}], "session":`, "without a version"),
	)
})

func FuzzCheck(f *testing.F) {
	f.Add(examples.Quickstart)
	f.Add([]byte(`{"schema":1,"regions":["a"],"domains":[{"id":"d","region":"a"}]}`))
	f.Fuzz(func(t *testing.T, src []byte) {
		doc, faults := document.Check(src)
		if len(faults) == 0 {
			document.NewIndex(1, doc)
		}
	})
}
