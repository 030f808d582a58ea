package rollout

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
)

// Local is what a VM knows beside the row.
type Local struct {
	// Domain is the VM's failure domain.
	Domain domain.ID
	// Stopped says that the VM's guard has stopped the new version.
	Stopped bool
	// Withdrawn tells whether a version is withdrawn. Nil means none is.
	Withdrawn func(model.VersionID) bool
}

func (l Local) withdrawn(v model.VersionID) bool {
	return l.Withdrawn != nil && l.Withdrawn(v)
}

// Assign returns the version that a new session gets. The key names the session
// or, where there is none, the request. A version that was found bad still
// serves where the replaced one is withdrawn; one that is withdrawn, or whose
// roll-out was aborted by operators, never does. Errors: ErrNoVersion.
func Assign(p Plan, row Progress, l Local, key string) (model.VersionID, error) {
	fresh := !l.withdrawn(p.To) && !p.Aborted
	old := !l.withdrawn(p.From)
	switch {
	case fresh && old:
		if !stopped(row, l) && chosen(p, row, l, key) {
			return p.To, nil
		}
		return p.From, nil
	case old:
		return p.From, nil
	case fresh:
		return p.To, nil
	default:
		return "", ErrNoVersion.New("roll-out %q: neither %q nor %q may be used", p.ID, p.From, p.To)
	}
}

// Serves tells whether a session that is pinned to the version is still served.
// One on a version that was found bad ends, like one on a withdrawn version,
// unless there is no other version.
func Serves(p Plan, row Progress, l Local, v model.VersionID) bool {
	if l.withdrawn(v) {
		return false
	}
	if v != p.To || l.withdrawn(p.From) && !p.Aborted {
		return true
	}
	return !p.Aborted && !stopped(row, l)
}

// stopped tells whether the new version was found bad here or everywhere.
func stopped(row Progress, l Local) bool {
	return row.Phase == RolledBack || l.Stopped || row.StoppedIn(l.Domain)
}

// chosen tells whether the step gives the new version to the key.
func chosen(p Plan, row Progress, l Local, key string) bool {
	if row.Phase == Done {
		return true
	}
	if row.Phase != Running || row.Step >= len(p.Steps) {
		return false
	}
	step := p.Steps[row.Step]
	if len(step.Domains) > 0 && !slices.Contains(step.Domains, l.Domain) {
		return false
	}
	return fraction(p.ID, key) < step.Share
}

// fraction maps the key to [0, 1), independently for each roll-out.
func fraction(id ID, key string) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(id))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(key)
	const mantissaBits = 53
	return float64(h.Sum64()>>(64-mantissaBits)) / (1 << mantissaBits)
}
