// Package site runs one environment on loopback for measurements: entry VMs,
// model engines and a service, with a document made for the purpose.
package site

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/service"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/environment"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

var namespace = errorx.NewNamespace("site")

// ErrDocument reports a document that could not be made.
var ErrDocument = namespace.NewType("document")

// The names that a site's document uses.
const (
	Key     = "measure-key"
	Account = "measured"
	Model   = "cheap"
	Version = "v1"
	// NextVersion is declared too, but not current at the start.
	NextVersion = "v2"
	Service     = "permits"
	// Issue is the path of the service's call that runs at most once.
	Issue = "/services/permits/issue"
)

const (
	region     = "region-1"
	domainID   = "domain-1"
	deadlineMS = 60000
	sessionTTL = 3600
)

// Options set up a site.
type Options struct {
	VMs     int
	Engines int
	// Capacity is the number of requests that an engine runs at once.
	Capacity int
	// Models is the number of models, each served by all engines. Default 1.
	Models int
	// Engine changes the options of every engine. Nil leaves the defaults.
	Engine func(*engine.Options)
	// Settings changes the settings of every entry VM. Nil leaves the defaults.
	Settings func(*settings.Entry)
}

// Start starts a site.
func Start(ctx context.Context, o Options) (*environment.Environment, error) {
	text, err := Document(o, Version)
	if err != nil {
		return nil, err
	}
	options := environment.Options{Document: text}
	if o.Engine != nil {
		options.ConfigureEngine = func(_ upstream.Upstream, e *engine.Options) { o.Engine(e) }
	}
	for i := range o.VMs {
		options.VMs = append(options.VMs, EntryVM(i, o.Settings))
	}
	return environment.Start(ctx, options)
}

// Document returns a site's document with a current version. Errors: ErrDocument.
func Document(o Options, current model.VersionID) ([]byte, error) {
	text, err := json.Marshal(sample(o, current))
	if err != nil {
		return nil, ErrDocument.Wrap(err, "encode")
	}
	return text, nil
}

// EntryVM describes the i-th entry VM.
func EntryVM(i int, change func(*settings.Entry)) environment.VM {
	return environment.VM{ID: VM(i), Domain: domainID, ConfigureSettings: change}
}

// VM returns the name of the i-th entry VM.
func VM(i int) vm.ID { return vm.ID(fmt.Sprintf("vm-%d", i)) }

// ModelName returns the name of the i-th model; the first is Model.
func ModelName(i int) string {
	if i == 0 {
		return Model
	}
	return fmt.Sprintf("%s-%d", Model, i)
}

// Engine returns the name of the i-th engine.
func Engine(i int) upstream.ID { return upstream.ID(fmt.Sprintf("engine-%d", i)) }

func sample(o Options, current model.VersionID) document.Document {
	key := sha256.Sum256([]byte(Key))
	models, refs := sampleModels(max(o.Models, 1), current)
	doc := document.Document{
		Schema:    document.SchemaVersion,
		Regions:   []domain.Region{region},
		Domains:   []domain.Domain{{ID: domainID, Region: region}},
		Models:    models,
		Services:  []service.Service{{Name: Service, Idempotent: []service.CallPattern{{Method: "GET", Path: "/status/*"}}}},
		Contracts: []contract.Contract{{ID: "all", Models: names(models), Services: []string{Service}, DeadlineMS: deadlineMS}},
		Accounts:  []account.Account{{ID: Account, Contract: "all", KeySHA256: []string{hex.EncodeToString(key[:])}}},
		Session:   document.Session{Keys: []string{"session"}, TTLSeconds: sessionTTL},
		Upstreams: []upstream.Upstream{{ID: "permits-1", Kind: upstream.Service, Domain: domainID, Service: Service}},
	}
	for i := range o.Engines {
		doc.Upstreams = append(doc.Upstreams, upstream.Upstream{
			ID: Engine(i), Kind: upstream.Engine, Domain: domainID, Versions: refs, Capacity: o.Capacity,
		})
	}
	return doc
}

func sampleModels(count int, current model.VersionID) (models []model.Model, refs []model.Ref) {
	for i := range count {
		name := model.Name(ModelName(i))
		m := model.Model{Name: name, Current: current}
		for _, id := range []model.VersionID{Version, NextVersion} {
			m.Versions = append(m.Versions, model.Version{ID: id, PromptPrice: 1_000_000, CompletionPrice: 3_000_000, Quality: 1})
			refs = append(refs, model.Ref{Model: name, Version: id})
		}
		models = append(models, m)
	}
	return models, refs
}

func names(models []model.Model) []model.Name {
	var list []model.Name
	for _, m := range models {
		list = append(list, m.Name)
	}
	return list
}
