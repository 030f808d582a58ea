package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/peer"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

const (
	documentModels   = 13
	documentVersions = 2
	documentDomains  = 18
	documentRegions  = 7
	documentAccounts = 10
	documentParses   = 5
)

// documents measures the configuration document: its size, what loading and
// indexing it costs a node, and what decoding and indexing alone would cost.
func documents() Probe {
	return Probe{Name: "document", Of: "engines", Sizes: []int{10, 100, 300, 1000}, Measure: measureDocument}
}

func measureDocument(_ context.Context, size int, record Recorder) error {
	src, err := json.Marshal(sampleDocument(size))
	if err != nil {
		return err
	}
	cost, err := perOperation(documentParses, func(i int) error {
		doc, err := document.Load(src)
		if err == nil {
			document.NewIndex(uint64(i), doc)
		}
		return err
	})
	if err != nil {
		return err
	}
	plain, err := perOperation(documentParses, func(i int) error {
		var doc document.Document
		err := json.Unmarshal(src, &doc)
		document.NewIndex(uint64(i), &doc)
		return err
	})
	if err != nil {
		return err
	}
	record("decode_cpu", Microseconds, plain)
	packed := peer.Pack(src)
	unpack, err := perOperation(documentParses, func(int) error {
		_, err := peer.Unpack(packed)
		return err
	})
	if err != nil {
		return err
	}
	record("bytes", Bytes, float64(len(src)))
	record("packed_bytes", Bytes, float64(len(packed)))
	record("unpack_cpu", Microseconds, unpack)
	record("install_cpu", Microseconds, cost)
	record("heap", Bytes, heapOf(func() *document.Index {
		doc, _ := document.Parse(src)
		return document.NewIndex(1, doc)
	}))
	return nil
}

// sampleDocument returns a document with the number of engines, in the shape
// of a large site.
func sampleDocument(engines int) document.Document {
	doc := document.Document{Schema: document.SchemaVersion}
	for i := range documentRegions {
		doc.Regions = append(doc.Regions, domain.Region(fmt.Sprintf("region-%d", i)))
	}
	for i := range documentDomains {
		doc.Domains = append(doc.Domains, domain.Domain{
			ID: domain.ID(fmt.Sprintf("domain-%d", i)), Region: doc.Regions[i%documentRegions],
		})
	}
	names := sampleModels(&doc)
	for i := range documentAccounts {
		id := contract.ID(fmt.Sprintf("contract-%d", i))
		doc.Contracts = append(doc.Contracts, contract.Contract{ID: id, Models: names})
		doc.Accounts = append(doc.Accounts, account.Account{
			ID: account.ID(fmt.Sprintf("account-%d", i)), Contract: id,
			KeySHA256: []string{fmt.Sprintf("%02x%s", i, strings.Repeat("ab", 31))},
		})
	}
	for i := range engines {
		m := doc.Models[i%documentModels]
		doc.Upstreams = append(doc.Upstreams, upstream.Upstream{
			ID: upstream.ID(fmt.Sprintf("engine-%05d", i)), Kind: upstream.Engine,
			Domain: doc.Domains[i%documentDomains].ID, Capacity: 32, Fencing: true,
			Versions: []model.Ref{
				{Model: m.Name, Version: m.Versions[0].ID}, {Model: m.Name, Version: m.Versions[1].ID},
			},
		})
	}
	return doc
}

func sampleModels(doc *document.Document) []model.Name {
	var names []model.Name
	for i := range documentModels {
		m := model.Model{Name: model.Name(fmt.Sprintf("model-%d", i)), Current: "v0"}
		for j := range documentVersions {
			m.Versions = append(m.Versions, model.Version{
				ID: model.VersionID(fmt.Sprintf("v%d", j)), PromptPrice: 100, CompletionPrice: 300, Quality: 0.9,
			})
		}
		doc.Models = append(doc.Models, m)
		names = append(names, m.Name)
	}
	return names
}
