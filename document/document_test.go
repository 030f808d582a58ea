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
