package document

import (
	"encoding/hex"
	"fmt"
	"path"

	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/link"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/strictjson"
	"github.com/poplarshore/poplarshore/takeover"
	"github.com/poplarshore/poplarshore/upstream"
)

// validator validates one decoded document and records faults with their positions. Its
// maps contain what the document declares.
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

// validate adds the faults of the document to text. The order of the checks matters:
// later ones use the declarations that earlier ones have recorded.
func validate(doc *Document, text *strictjson.Text) {
	v := &validator{doc: doc, text: text}
	v.checkSchema()
	v.checkRegionsDomainsAndLinks()
	v.checkModelsAndCascades()
	v.checkServicesAndUpstreams()
	v.checkWithdrawals()
	v.checkContractsAndAccounts()
	v.checkRollouts()
	v.checkSession()
	v.checkTakeover()
}

// checkUnique reports a key that is empty or was seen before, and records it as seen.
func checkUnique[K comparable](v *validator, seen map[K]bool, key K, zero K, at string) {
	switch {
	case key == zero:
		v.text.AddFault(at, "must not be empty")
	case seen[key]:
		v.text.AddFault(at, "%v stands twice; names must be unique", key)
	}
	seen[key] = true
}

func (v *validator) checkSchema() {
	if v.doc.Schema != SchemaVersion {
		v.text.AddFault("schema", "must be %d", SchemaVersion)
	}
}

func (v *validator) checkRegionsDomainsAndLinks() {
	v.regions = make(map[domain.Region]bool)
	for i, r := range v.doc.Regions {
		checkUnique(v, v.regions, r, "", fmt.Sprintf("regions[%d]", i))
	}
	v.domains = make(map[domain.ID]bool)
	for i, d := range v.doc.Domains {
		at := fmt.Sprintf("domains[%d]", i)
		checkUnique(v, v.domains, d.ID, "", at+".id")
		v.checkRegion(d.Region, at+".region")
	}
	for i, l := range v.doc.Links {
		at := fmt.Sprintf("links[%d]", i)
		v.checkRegion(l.From, at+".from")
		v.checkRegion(l.To, at+".to")
		checkWithin(v, l.LatencyMS, link.MaxLatencyMS, at+".latency_ms")
		checkWithin(v, l.PricePerMB, maxPrice, at+".price_per_mb")
	}
}

func (v *validator) checkRegion(r domain.Region, at string) {
	if !v.regions[r] {
		v.text.AddFault(at, "region %q is not declared in regions", r)
	}
}

func (v *validator) checkModelsAndCascades() {
	v.models = make(map[model.Name]*model.Model)
	v.cascades = make(map[model.Name]*model.Cascade)
	names := make(map[model.Name]bool)
	for i := range v.doc.Models {
		m := &v.doc.Models[i]
		at := fmt.Sprintf("models[%d]", i)
		checkUnique(v, names, m.Name, "", at+".name")
		v.models[m.Name] = m
		v.checkVersions(m, at)
	}
	for i := range v.doc.Cascades {
		c := &v.doc.Cascades[i]
		at := fmt.Sprintf("cascades[%d]", i)
		checkUnique(v, names, c.Name, "", at+".name")
		v.cascades[c.Name] = c
		if len(c.Steps) < 2 {
			v.text.AddFault(at+".steps", "a cascade needs at least two models")
		}
		for j, step := range c.Steps {
			if v.models[step] == nil {
				v.text.AddFault(fmt.Sprintf("%s.steps[%d]", at, j), "model %q is not declared in models", step)
			}
		}
	}
}

func (v *validator) checkVersions(m *model.Model, at string) {
	ids := make(map[model.VersionID]bool)
	for i, ver := range m.Versions {
		versionPath := fmt.Sprintf("%s.versions[%d]", at, i)
		checkUnique(v, ids, ver.ID, "", versionPath+".id")
		v.checkFraction(ver.Quality, versionPath+".quality")
		checkWithin(v, ver.PromptPrice, maxPrice, versionPath+".prompt_price")
		checkWithin(v, ver.CompletionPrice, maxPrice, versionPath+".completion_price")
	}
	if !ids[m.Current] {
		v.text.AddFault(at+".current", "version %q is not declared in versions", m.Current)
	}
}

// checkFraction reports a number that is not in [0, 1].
func (v *validator) checkFraction(f float64, at string) {
	if f < 0 || f > 1 {
		v.text.AddFault(at, "must be between 0 and 1")
	}
}

// checkVersion reports a version that is not declared. It returns whether it is.
func (v *validator) checkVersion(ref model.Ref, at string) bool {
	m := v.models[ref.Model]
	if m == nil {
		v.text.AddFault(at, "model %q is not declared in models", ref.Model)
		return false
	}
	for _, ver := range m.Versions {
		if ver.ID == ref.Version {
			return true
		}
	}
	v.text.AddFault(at, "model %q has no version %q", ref.Model, ref.Version)
	return false
}

func (v *validator) checkServicesAndUpstreams() {
	v.services = make(map[string]bool)
	for i, s := range v.doc.Services {
		at := fmt.Sprintf("services[%d]", i)
		checkUnique(v, v.services, s.Name, "", at+".name")
		for j, c := range s.Idempotent {
			if _, err := path.Match(c.Path, "/"); err != nil || c.Method == "" {
				v.text.AddFault(fmt.Sprintf("%s.idempotent[%d]", at, j), "needs a method and a valid path pattern")
			}
		}
	}
	v.upstreams = make(map[upstream.ID]upstream.Kind)
	ids := make(map[upstream.ID]bool)
	for i, u := range v.doc.Upstreams {
		at := fmt.Sprintf("upstreams[%d]", i)
		checkUnique(v, ids, u.ID, "", at+".id")
		v.upstreams[u.ID] = u.Kind
		v.checkUpstream(u, at)
	}
}

func (v *validator) checkUpstream(u upstream.Upstream, at string) {
	if !v.domains[u.Domain] {
		v.text.AddFault(at+".domain", "failure domain %q is not declared in domains", u.Domain)
	}
	checkWithin(v, u.Capacity, maxCapacity, at+".capacity")
	switch u.Kind {
	case upstream.Engine:
		if len(u.Versions) == 0 {
			v.text.AddFault(at, "an engine needs at least one version")
		}
		for j, ref := range u.Versions {
			v.checkVersion(ref, fmt.Sprintf("%s.versions[%d]", at, j))
		}
	case upstream.Service:
		if !v.services[u.Service] {
			v.text.AddFault(at+".service", "service %q is not declared in services", u.Service)
		}
	case upstream.OldRouter:
	default:
		v.text.AddFault(at+".kind", "must be %q, %q or %q", upstream.Engine, upstream.Service, upstream.OldRouter)
	}
}

func (v *validator) checkWithdrawals() {
	v.withdrawn = make(map[model.Ref]bool)
	for i, w := range v.doc.Withdrawals {
		at := fmt.Sprintf("withdrawals[%d]", i)
		if v.checkVersion(w.Version, at+".version") {
			v.withdrawn[w.Version] = true
		}
	}
	for i, w := range v.doc.Withdrawals {
		if !w.Force && v.models[w.Version.Model] != nil && !v.hasActiveVersion(w.Version.Model) {
			at := fmt.Sprintf("withdrawals[%d].version", i)
			v.text.AddFault(at, "leaves model %q without a version; add \"force\": true if that is meant", w.Version.Model)
		}
	}
}

// hasActiveVersion reports whether a declared model has a version that is not withdrawn.
func (v *validator) hasActiveVersion(name model.Name) bool {
	for _, ver := range v.models[name].Versions {
		if !v.withdrawn[model.Ref{Model: name, Version: ver.ID}] {
			return true
		}
	}
	return false
}

func (v *validator) checkSession() {
	if len(v.doc.Session.Keys) > 0 && v.doc.Session.TTLSeconds <= 0 {
		v.text.AddFault("session.ttl_seconds", "must be over 0 where session keys are named")
	}
	if v.doc.Session.TTLSeconds > MaxTTLSeconds {
		v.text.AddFault("session.ttl_seconds", "must be at most %d", MaxTTLSeconds)
	}
}

func (v *validator) checkTakeover() {
	t := v.doc.Takeover
	if t.OldRouter == "" && len(t.Rules) > 0 {
		v.text.AddFault("takeover.rules", "need takeover.old_router")
	}
	if t.OldRouter != "" && v.upstreams[t.OldRouter] != upstream.OldRouter {
		v.text.AddFault("takeover.old_router", "upstream %q of kind %q is not declared", t.OldRouter, upstream.OldRouter)
	}
	checkWithin(v, t.QuietSeconds, takeover.MaxQuietSeconds, "takeover.quiet_seconds")
	checkWithin(v, t.ChangedAt, takeover.MaxChangedAt, "takeover.changed_at")
	for i, r := range t.Rules {
		v.checkFraction(r.Share, fmt.Sprintf("takeover.rules[%d].share", i))
	}
}

// isSHA256 reports whether s is a SHA-256 hash in hexadecimal digits.
func isSHA256(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == 32
}
