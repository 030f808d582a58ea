// Package site starts an environment on loopback for measurements: entry VMs,
// model engines and a service, with a generated configuration document.
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

// ErrDocument reports a document that could not be encoded.
var ErrDocument = namespace.NewType("document")

// The names in a site's document.
const (
	// Key is the key of the client account.
	Key     = "measure-key"
	Account = "measured"
	// Model is the name of the first model.
	Model = "cheap"
	// Version is the current version of each model at the start.
	Version = "v1"
	// NextVersion is another version of each model.
	NextVersion = "v2"
	Service     = "permits"
	// IssuePath is the path of the service's non-idempotent call.
	IssuePath = "/services/permits/issue"
)

// Further names in a site's document, the deadline of requests and the TTL of
// sessions.
const (
	regionID          = "region-1"
	domainID          = "domain-1"
	deadlineMS        = 60000
	sessionTTLSeconds = 3600
)

// Options configure a site.
type Options struct {
	// VMs and Engines are the numbers of entry VMs and of engines.
	VMs     int
	Engines int
	// Capacity is the number of requests that an engine runs at the same time.
	Capacity int
	// Models is the number of models. Each engine serves all of them. Default 1.
	Models int
	// Engine modifies the options of each engine. Nil means the defaults.
	Engine func(*engine.Options)
	// Settings modifies the settings of each entry VM. Nil means the defaults.
	Settings func(*settings.Entry)
}

// Start starts a site, with Version as the current version of each model.
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

// Document returns a site's configuration document in JSON, with the given current
// version of each model. Errors: ErrDocument.
func Document(o Options, current model.VersionID) ([]byte, error) {
	text, err := json.Marshal(sampleDocument(o, current))
	if err != nil {
		return nil, ErrDocument.Wrap(err, "could not encode the document")
	}
	return text, nil
}

// EntryVM returns the description of the i-th entry VM. configure modifies its
// settings; nil means the defaults.
func EntryVM(i int, configure func(*settings.Entry)) environment.VM {
	return environment.VM{ID: VMID(i), Domain: domainID, ConfigureSettings: configure}
}

// VMID returns the ID of the i-th entry VM.
func VMID(i int) vm.ID { return vm.ID(fmt.Sprintf("vm-%d", i)) }

// ModelName returns the name of the i-th model; the first is Model.
func ModelName(i int) string {
	if i == 0 {
		return Model
	}
	return fmt.Sprintf("%s-%d", Model, i)
}

// EngineID returns the ID of the i-th engine.
func EngineID(i int) upstream.ID { return upstream.ID(fmt.Sprintf("engine-%d", i)) }

// sampleDocument returns a document with one client account, whose contract allows
// all models and the service.
func sampleDocument(o Options, current model.VersionID) document.Document {
	key := sha256.Sum256([]byte(Key))
	models, refs := sampleModels(max(o.Models, 1), current)
	doc := document.Document{
		Schema:    document.SchemaVersion,
		Regions:   []domain.Region{regionID},
		Domains:   []domain.Domain{{ID: domainID, Region: regionID}},
		Models:    models,
		Services:  []service.Service{{Name: Service, Idempotent: []service.CallPattern{{Method: "GET", Path: "/status/*"}}}},
		Contracts: []contract.Contract{{ID: "all", Models: modelNames(models), Services: []string{Service}, DeadlineMS: deadlineMS}},
		Accounts:  []account.Account{{ID: Account, Contract: "all", KeySHA256: []string{hex.EncodeToString(key[:])}}},
		Session:   document.Session{Keys: []string{"session"}, TTLSeconds: sessionTTLSeconds},
		Upstreams: []upstream.Upstream{{ID: "permits-1", Kind: upstream.Service, Domain: domainID, Service: Service}},
	}
	for i := range o.Engines {
		doc.Upstreams = append(doc.Upstreams, upstream.Upstream{
			ID: EngineID(i), Kind: upstream.Engine, Domain: domainID, Versions: refs, Capacity: o.Capacity,
		})
	}
	return doc
}

// sampleModels returns count models with two versions each, and references to all
// these versions.
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

func modelNames(models []model.Model) []model.Name {
	var list []model.Name
	for _, m := range models {
		list = append(list, m.Name)
	}
	return list
}
