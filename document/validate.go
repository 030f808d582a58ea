package document

import (
	"encoding/hex"
	"fmt"
	"path"

	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/strictjson"
	"github.com/poplarshore/poplarshore/upstream"
)

// validator checks one decoded document and records faults at their positions.
type validator struct {
	doc  *Document
	text *strictjson.Text

	regions   map[domain.Region]bool
	domains   map[domain.ID]bool
	models    map[model.Name]*model.Model
	cascades  map[model.Name]*model.Cascade
	services  map[string]bool
	contracts map[contract.ID]bool
	upstreams map[upstream.ID]upstream.Kind
	withdrawn map[model.Ref]bool
}

func validate(doc *Document, text *strictjson.Text) {
	v := &validator{doc: doc, text: text}
	v.schema()
	v.places()
	v.modelsAndCascades()
	v.servicesAndUpstreams()
	v.withdrawals()
	v.contractsAndAccounts()
	v.rollouts()
	v.session()
	v.takeover()
}

// unique records each key and reports the second of two equal ones.
func unique[K comparable](v *validator, seen map[K]bool, key K, zero K, at string) {
	switch {
	case key == zero:
		v.text.Add(at, "must not be empty")
	case seen[key]:
		v.text.Add(at, "%v stands twice; names must be unique", key)
	}
	seen[key] = true
}

func (v *validator) schema() {
	if v.doc.Schema != SchemaVersion {
		v.text.Add("schema", "must be %d", SchemaVersion)
	}
}

func (v *validator) places() {
	v.regions = make(map[domain.Region]bool)
	for i, r := range v.doc.Regions {
		unique(v, v.regions, r, "", fmt.Sprintf("regions[%d]", i))
	}
	v.domains = make(map[domain.ID]bool)
	for i, d := range v.doc.Domains {
		at := fmt.Sprintf("domains[%d]", i)
		unique(v, v.domains, d.ID, "", at+".id")
		v.region(d.Region, at+".region")
	}
	for i, l := range v.doc.Links {
		at := fmt.Sprintf("links[%d]", i)
		v.region(l.From, at+".from")
		v.region(l.To, at+".to")
		if l.LatencyMS < 0 {
			v.text.Add(at+".latency_ms", "must not be negative")
		}
		if l.PricePerMB < 0 {
			v.text.Add(at+".price_per_mb", "must not be negative")
		}
	}
}

func (v *validator) region(r domain.Region, at string) {
	if !v.regions[r] {
		v.text.Add(at, "region %q is not declared in regions", r)
	}
}

func (v *validator) modelsAndCascades() {
	v.models = make(map[model.Name]*model.Model)
	v.cascades = make(map[model.Name]*model.Cascade)
	names := make(map[model.Name]bool)
	for i := range v.doc.Models {
		m := &v.doc.Models[i]
		at := fmt.Sprintf("models[%d]", i)
		unique(v, names, m.Name, "", at+".name")
		v.models[m.Name] = m
		v.versions(m, at)
	}
	for i := range v.doc.Cascades {
		c := &v.doc.Cascades[i]
		at := fmt.Sprintf("cascades[%d]", i)
		unique(v, names, c.Name, "", at+".name")
		v.cascades[c.Name] = c
		if len(c.Steps) < 2 {
			v.text.Add(at+".steps", "a cascade needs at least two models")
		}
		for j, step := range c.Steps {
			if v.models[step] == nil {
				v.text.Add(fmt.Sprintf("%s.steps[%d]", at, j), "model %q is not declared in models", step)
			}
		}
	}
}

func (v *validator) versions(m *model.Model, at string) {
	ids := make(map[model.VersionID]bool)
	for i, ver := range m.Versions {
		here := fmt.Sprintf("%s.versions[%d]", at, i)
		unique(v, ids, ver.ID, "", here+".id")
		v.fraction(ver.Quality, here+".quality")
		if ver.PromptPrice < 0 || ver.CompletionPrice < 0 {
			v.text.Add(here, "prices must not be negative")
		}
	}
	if !ids[m.Current] {
		v.text.Add(at+".current", "version %q is not declared in versions", m.Current)
	}
}

func (v *validator) fraction(f float64, at string) {
	if f < 0 || f > 1 {
		v.text.Add(at, "must be between 0 and 1")
	}
}

func (v *validator) version(ref model.Ref, at string) bool {
	m := v.models[ref.Model]
	if m == nil {
		v.text.Add(at, "model %q is not declared in models", ref.Model)
		return false
	}
	for _, ver := range m.Versions {
		if ver.ID == ref.Version {
			return true
		}
	}
	v.text.Add(at, "model %q has no version %q", ref.Model, ref.Version)
	return false
}

func (v *validator) servicesAndUpstreams() {
	v.services = make(map[string]bool)
	for i, s := range v.doc.Services {
		at := fmt.Sprintf("services[%d]", i)
		unique(v, v.services, s.Name, "", at+".name")
		for j, c := range s.Idempotent {
			if _, err := path.Match(c.Path, "/"); err != nil || c.Method == "" {
				v.text.Add(fmt.Sprintf("%s.idempotent[%d]", at, j), "needs a method and a valid path pattern")
			}
		}
	}
	v.upstreams = make(map[upstream.ID]upstream.Kind)
	ids := make(map[upstream.ID]bool)
	for i, u := range v.doc.Upstreams {
		at := fmt.Sprintf("upstreams[%d]", i)
		unique(v, ids, u.ID, "", at+".id")
		v.upstreams[u.ID] = u.Kind
		v.upstream(u, at)
	}
}

func (v *validator) upstream(u upstream.Upstream, at string) {
	if !v.domains[u.Domain] {
		v.text.Add(at+".domain", "failure domain %q is not declared in domains", u.Domain)
	}
	switch u.Kind {
	case upstream.Engine:
		if len(u.Versions) == 0 {
			v.text.Add(at, "an engine needs at least one version")
		}
		for j, ref := range u.Versions {
			v.version(ref, fmt.Sprintf("%s.versions[%d]", at, j))
		}
	case upstream.Service:
		if !v.services[u.Service] {
			v.text.Add(at+".service", "service %q is not declared in services", u.Service)
		}
	case upstream.OldRouter:
	default:
		v.text.Add(at+".kind", "must be %q, %q or %q", upstream.Engine, upstream.Service, upstream.OldRouter)
	}
}

func (v *validator) withdrawals() {
	v.withdrawn = make(map[model.Ref]bool)
	for i, w := range v.doc.Withdrawals {
		at := fmt.Sprintf("withdrawals[%d]", i)
		if v.version(w.Version, at+".version") {
			v.withdrawn[w.Version] = true
		}
	}
	for i, w := range v.doc.Withdrawals {
		if !w.Force && v.models[w.Version.Model] != nil && !v.anyLeft(w.Version.Model) {
			at := fmt.Sprintf("withdrawals[%d].version", i)
			v.text.Add(at, "leaves model %q without a version; add \"force\": true if that is meant", w.Version.Model)
		}
	}
}

func (v *validator) anyLeft(name model.Name) bool {
	for _, ver := range v.models[name].Versions {
		if !v.withdrawn[model.Ref{Model: name, Version: ver.ID}] {
			return true
		}
	}
	return false
}

func (v *validator) session() {
	if len(v.doc.Session.Keys) > 0 && v.doc.Session.TTLSeconds <= 0 {
		v.text.Add("session.ttl_seconds", "must be over 0 where session keys are named")
	}
}

func (v *validator) takeover() {
	t := v.doc.Takeover
	if t.OldRouter == "" && len(t.Rules) > 0 {
		v.text.Add("takeover.rules", "need takeover.old_router")
	}
	if t.OldRouter != "" && v.upstreams[t.OldRouter] != upstream.OldRouter {
		v.text.Add("takeover.old_router", "upstream %q of kind %q is not declared", t.OldRouter, upstream.OldRouter)
	}
	if t.QuietSeconds < 0 {
		v.text.Add("takeover.quiet_seconds", "must not be negative")
	}
	for i, r := range t.Rules {
		v.fraction(r.Share, fmt.Sprintf("takeover.rules[%d].share", i))
	}
}

func isSHA256(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == 32
}
