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

// The contents of the sample document besides its engines, and the repetitions
// of each operation on it.
const (
	documentModelCount   = 13
	versionsPerModel     = 2
	documentDomainCount  = 18
	documentRegionCount  = 7
	documentAccountCount = 10
	documentRepeats      = 5
)

// documents measures the configuration document: its size in bytes, plain and
// packed, its heap, the cost of unpacking it, of loading and indexing it, and of
// decoding and indexing it without validation.
func documents() Probe {
	return Probe{Name: "document", SizeName: "engines", Sizes: []int{10, 100, 300, 1000}, Measure: measureDocument}
}

func measureDocument(_ context.Context, size int, record Recorder) error {
	src, err := json.Marshal(sampleDocument(size))
	if err != nil {
		return err
	}
	installCost, err := cpuPerOperation(documentRepeats, func(i int) error {
		doc, err := document.Load(src)
		if err == nil {
			document.NewIndex(uint64(i), doc)
		}
		return err
	})
	if err != nil {
		return err
	}
	decodeCost, err := cpuPerOperation(documentRepeats, func(i int) error {
		var doc document.Document
		err := json.Unmarshal(src, &doc)
		document.NewIndex(uint64(i), &doc)
		return err
	})
	if err != nil {
		return err
	}
	record("decode_cpu", Microseconds, decodeCost)
	packed := peer.Pack(src)
	unpackCost, err := cpuPerOperation(documentRepeats, func(int) error {
		_, err := peer.Unpack(packed)
		return err
	})
	if err != nil {
		return err
	}
	record("bytes", Bytes, float64(len(src)))
	record("packed_bytes", Bytes, float64(len(packed)))
	record("unpack_cpu", Microseconds, unpackCost)
	record("install_cpu", Microseconds, installCost)
	record("heap", Bytes, heapSize(func() *document.Index {
		doc, _ := document.Parse(src)
		return document.NewIndex(1, doc)
	}))
	return nil
}

// sampleDocument returns a document with the number of engines. Its numbers of
// regions, failure domains, models and client accounts are those of a large
// site.
func sampleDocument(engines int) document.Document {
	doc := document.Document{Schema: document.SchemaVersion}
	for i := range documentRegionCount {
		doc.Regions = append(doc.Regions, domain.Region(fmt.Sprintf("region-%d", i)))
	}
	for i := range documentDomainCount {
		doc.Domains = append(doc.Domains, domain.Domain{
			ID: domain.ID(fmt.Sprintf("domain-%d", i)), Region: doc.Regions[i%documentRegionCount],
		})
	}
	names := sampleModels(&doc)
	for i := range documentAccountCount {
		id := contract.ID(fmt.Sprintf("contract-%d", i))
		doc.Contracts = append(doc.Contracts, contract.Contract{ID: id, Models: names})
		doc.Accounts = append(doc.Accounts, account.Account{
			ID: account.ID(fmt.Sprintf("account-%d", i)), Contract: id,
			KeySHA256: []string{fmt.Sprintf("%02x%s", i, strings.Repeat("ab", 31))},
		})
	}
	for i := range engines {
		m := doc.Models[i%documentModelCount]
		doc.Upstreams = append(doc.Upstreams, upstream.Upstream{
			ID: upstream.ID(fmt.Sprintf("engine-%05d", i)), Kind: upstream.Engine,
			Domain: doc.Domains[i%documentDomainCount].ID, Capacity: 32, Fencing: true,
			Versions: []model.Ref{
				{Model: m.Name, Version: m.Versions[0].ID}, {Model: m.Name, Version: m.Versions[1].ID},
			},
		})
	}
	return doc
}

// sampleModels adds the models to the document and returns their names.
func sampleModels(doc *document.Document) []model.Name {
	var names []model.Name
	for i := range documentModelCount {
		m := model.Model{Name: model.Name(fmt.Sprintf("model-%d", i)), Current: "v0"}
		for j := range versionsPerModel {
			m.Versions = append(m.Versions, model.Version{
				ID: model.VersionID(fmt.Sprintf("v%d", j)), PromptPrice: 100, CompletionPrice: 300, Quality: 0.9,
			})
		}
		doc.Models = append(doc.Models, m)
		names = append(names, m.Name)
	}
	return names
}
