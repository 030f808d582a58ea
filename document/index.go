package document

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/link"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/service"
	"github.com/poplarshore/poplarshore/upstream"
)

// Client is a client account with its contract.
type Client struct {
	Account  account.ID
	Contract *contract.Contract
}

// Index provides the lookups in a document that each request needs. It is immutable
// and safe for concurrent use.
type Index struct {
	// Number is the number of the revision that contains the document.
	Number uint64
	// Doc is the document. It must not be changed.
	Doc *Document
	// Links provides the links between regions.
	Links link.Map

	clients   map[[sha256.Size]byte]*Client
	accounts  map[account.ID]*Client
	models    map[model.Name]*model.Model
	versions  map[model.Ref]*model.Version
	cascades  map[model.Name]*model.Cascade
	rollouts  map[model.Name]*rollout.Plan
	withdrawn map[model.Ref]bool
	engines   map[model.Ref][]*upstream.Upstream
	backends  map[string][]*upstream.Upstream
	services  map[string]*service.Service
	upstreams map[upstream.ID]*upstream.Upstream
	regions   map[domain.ID]domain.Region
}

// NewIndex compiles a valid document, which is the content of the revision with the
// number. The document must not be changed afterwards.
func NewIndex(number uint64, doc *Document) *Index {
	x := &Index{
		Number:    number,
		Doc:       doc,
		Links:     link.NewMap(doc.Links),
		clients:   make(map[[sha256.Size]byte]*Client),
		accounts:  make(map[account.ID]*Client),
		models:    make(map[model.Name]*model.Model),
		versions:  make(map[model.Ref]*model.Version),
		cascades:  make(map[model.Name]*model.Cascade),
		rollouts:  make(map[model.Name]*rollout.Plan),
		withdrawn: make(map[model.Ref]bool),
		engines:   make(map[model.Ref][]*upstream.Upstream),
		backends:  make(map[string][]*upstream.Upstream),
		services:  make(map[string]*service.Service),
		upstreams: make(map[upstream.ID]*upstream.Upstream),
		regions:   make(map[domain.ID]domain.Region),
	}
	x.indexClients()
	x.indexModels()
	x.indexUpstreams()
	return x
}

func (x *Index) indexClients() {
	contracts := make(map[contract.ID]*contract.Contract)
	for i := range x.Doc.Contracts {
		contracts[x.Doc.Contracts[i].ID] = &x.Doc.Contracts[i]
	}
	for _, a := range x.Doc.Accounts {
		if contracts[a.Contract] == nil {
			continue
		}
		client := &Client{Account: a.ID, Contract: contracts[a.Contract]}
		x.accounts[a.ID] = client
		for _, key := range a.KeySHA256 {
			sum, err := hex.DecodeString(key)
			if err == nil && len(sum) == sha256.Size {
				x.clients[[sha256.Size]byte(sum)] = client
			}
		}
	}
}

func (x *Index) indexModels() {
	for i := range x.Doc.Models {
		m := &x.Doc.Models[i]
		x.models[m.Name] = m
		for j := range m.Versions {
			x.versions[model.Ref{Model: m.Name, Version: m.Versions[j].ID}] = &m.Versions[j]
		}
	}
	for i := range x.Doc.Cascades {
		x.cascades[x.Doc.Cascades[i].Name] = &x.Doc.Cascades[i]
	}
	for i := range x.Doc.Rollouts {
		x.rollouts[x.Doc.Rollouts[i].Model] = &x.Doc.Rollouts[i]
	}
	for _, w := range x.Doc.Withdrawals {
		x.withdrawn[w.Version] = true
	}
}

func (x *Index) indexUpstreams() {
	for _, d := range x.Doc.Domains {
		x.regions[d.ID] = d.Region
	}
	for i := range x.Doc.Services {
		x.services[x.Doc.Services[i].Name] = &x.Doc.Services[i]
	}
	for i := range x.Doc.Upstreams {
		u := &x.Doc.Upstreams[i]
		x.upstreams[u.ID] = u
		for _, ref := range u.Versions {
			x.engines[ref] = append(x.engines[ref], u)
		}
		if u.Kind == upstream.Service {
			x.backends[u.Service] = append(x.backends[u.Service], u)
		}
	}
}

// Client returns the client account that has the bearer key. Only the SHA-256 hash of
// the key is compared, so that the duration of the lookup reveals nothing about the key.
func (x *Index) Client(key string) (*Client, bool) {
	c, ok := x.clients[sha256.Sum256([]byte(key))]
	return c, ok
}

// Account returns the client account with the id, or nil.
func (x *Index) Account(id account.ID) *Client { return x.accounts[id] }

// Model returns a model, or nil.
func (x *Index) Model(name model.Name) *model.Model { return x.models[name] }

// Version returns a version of a model, or nil.
func (x *Index) Version(ref model.Ref) *model.Version { return x.versions[ref] }

// Cascade returns a cascade, or nil.
func (x *Index) Cascade(name model.Name) *model.Cascade { return x.cascades[name] }

// Rollout returns the roll-out of a model, or nil.
func (x *Index) Rollout(name model.Name) *rollout.Plan { return x.rollouts[name] }

// Withdrawn reports whether a version was withdrawn and gets no new requests.
func (x *Index) Withdrawn(ref model.Ref) bool { return x.withdrawn[ref] }

// Engines returns the engines that may serve a version. The slice is shared and must
// not be changed.
func (x *Index) Engines(ref model.Ref) []*upstream.Upstream { return x.engines[ref] }

// Service returns a plain service, or nil.
func (x *Index) Service(name string) *service.Service { return x.services[name] }

// Backends returns the upstreams of a plain service. The slice is shared and must not
// be changed.
func (x *Index) Backends(name string) []*upstream.Upstream { return x.backends[name] }

// Upstream returns an upstream, or nil.
func (x *Index) Upstream(id upstream.ID) *upstream.Upstream { return x.upstreams[id] }

// Region returns the region of a failure domain, or "" if the domain is not declared.
func (x *Index) Region(id domain.ID) domain.Region { return x.regions[id] }
