package document

import (
	"fmt"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
)

func (v *validator) checkContractsAndAccounts() {
	v.contracts = make(map[contract.ID]bool)
	for i, c := range v.doc.Contracts {
		at := fmt.Sprintf("contracts[%d]", i)
		checkUnique(v, v.contracts, c.ID, "", at+".id")
		v.checkContract(c, at)
	}
	accounts := make(map[account.ID]bool)
	keys := make(map[string]bool)
	for i, a := range v.doc.Accounts {
		at := fmt.Sprintf("accounts[%d]", i)
		checkUnique(v, accounts, a.ID, "", at+".id")
		if !v.contracts[a.Contract] {
			v.text.AddFault(at+".contract", "contract %q is not declared in contracts", a.Contract)
		}
		for j, key := range a.KeySHA256 {
			keyPath := fmt.Sprintf("%s.key_sha256[%d]", at, j)
			checkUnique(v, keys, key, "", keyPath)
			if !isSHA256(key) {
				v.text.AddFault(keyPath, "must be 64 hexadecimal digits, the SHA-256 of the key")
			}
		}
	}
}

func (v *validator) checkContract(c contract.Contract, at string) {
	v.checkFraction(c.QualityTarget, at+".quality_target")
	for j, ref := range c.Versions {
		v.checkVersion(ref, fmt.Sprintf("%s.versions[%d]", at, j))
	}
	for j, name := range c.Models {
		v.checkContractModel(c, name, fmt.Sprintf("%s.models[%d]", at, j))
	}
	for j, name := range c.Services {
		if !v.services[name] {
			v.text.AddFault(fmt.Sprintf("%s.services[%d]", at, j), "service %q is not declared in services", name)
		}
	}
	l := c.Limits
	checkWithin(v, l.RequestsPerSecond, maxRate, at+".limits.requests_per_second")
	checkWithin(v, l.TokensPerSecond, maxRate, at+".limits.tokens_per_second")
	checkWithin(v, l.Concurrency, maxConcurrency, at+".limits.concurrency")
	checkWithin(v, c.Weights.Cost, maxWeight, at+".weights.cost")
	checkWithin(v, c.Weights.Latency, maxWeight, at+".weights.latency")
	checkWithin(v, c.Weights.Exposure, maxWeight, at+".weights.exposure")
	checkWithin(v, c.DeadlineMS, contract.MaxDeadlineMS, at+".deadline_ms")
}

// checkContractModel reports a model or cascade that the contract allows but can't
// serve: it is not declared, all allowed versions are withdrawn, or a cascade's best
// version doesn't reach the contract's quality target.
func (v *validator) checkContractModel(c contract.Contract, name model.Name, at string) {
	if m := v.models[name]; m != nil {
		if v.bestQuality(c, name) < 0 && v.hasActiveVersion(name) {
			v.text.AddFault(at, "the contract allows no version of model %q that is not withdrawn", name)
		}
		return
	}
	cascade := v.cascades[name]
	if cascade == nil {
		v.text.AddFault(at, "%q is declared neither in models nor in cascades", name)
		return
	}
	best := -1.0
	for _, step := range cascade.Steps {
		if c.AllowsModel(step) && v.models[step] != nil {
			best = max(best, v.bestQuality(c, step))
		}
	}
	if best < 0 {
		v.text.AddFault(at, "the contract allows no model of cascade %q; name its steps in models as well", name)
		return
	}
	if best < c.QualityTarget {
		v.text.AddFault(at, "cascade %q reaches quality %.2f at best, below quality_target %.2f", name, best, c.QualityTarget)
	}
}

// bestQuality returns the highest expected quality of the model's versions that the
// contract allows and that are not withdrawn, or -1 if there are none.
func (v *validator) bestQuality(c contract.Contract, name model.Name) float64 {
	best := -1.0
	for _, ver := range v.models[name].Versions {
		ref := model.Ref{Model: name, Version: ver.ID}
		if c.AllowsVersion(ref) && !v.withdrawn[ref] {
			best = max(best, ver.Quality)
		}
	}
	return best
}

func (v *validator) checkRollouts() {
	ids := make(map[rollout.ID]bool)
	models := make(map[model.Name]bool)
	for i, r := range v.doc.Rollouts {
		at := fmt.Sprintf("rollouts[%d]", i)
		checkUnique(v, ids, r.ID, "", at+".id")
		checkUnique(v, models, r.Model, "", at+".model")
		v.checkVersion(model.Ref{Model: r.Model, Version: r.From}, at+".from")
		v.checkVersion(model.Ref{Model: r.Model, Version: r.To}, at+".to")
		v.checkRolloutSteps(r, at)
	}
}

// checkRolloutSteps reports faults of the steps of a roll-out. Shares must not decrease
// from step to step.
func (v *validator) checkRolloutSteps(r rollout.Plan, at string) {
	if len(r.Steps) == 0 {
		v.text.AddFault(at, "a roll-out needs at least one step")
	}
	previousShare := 0.0
	for j, s := range r.Steps {
		stepPath := fmt.Sprintf("%s.steps[%d]", at, j)
		v.checkFraction(s.Share, stepPath+".share")
		if s.Share < previousShare {
			v.text.AddFault(stepPath+".share", "must not be below the share of the step before")
		}
		previousShare = s.Share
		checkWithin(v, s.DwellSeconds, rollout.MaxDwellSeconds, stepPath+".dwell_seconds")
		for k, d := range s.Domains {
			if !v.domains[d] {
				v.text.AddFault(fmt.Sprintf("%s.domains[%d]", stepPath, k), "failure domain %q is not declared in domains", d)
			}
		}
	}
}
