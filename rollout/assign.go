package rollout

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
)

// LocalState is the state of a VM that Assign and Serves use in addition to the
// progress row.
type LocalState struct {
	// Domain is the VM's failure domain.
	Domain domain.ID
	// Stopped reports that the VM's guard has stopped the new version.
	Stopped bool
	// Withdrawn reports whether a version is withdrawn. Nil means that none is.
	Withdrawn func(model.VersionID) bool
}

func (l LocalState) isWithdrawn(v model.VersionID) bool {
	return l.Withdrawn != nil && l.Withdrawn(v)
}

// Assign returns the version for a new session. The key identifies the session
// or, if there is none, the request. A new version that was found bad is still
// assigned if the replaced version is withdrawn; one that is withdrawn, or whose
// roll-out was aborted by operators, is never assigned. Errors: ErrNoVersion.
func Assign(p Plan, row Progress, local LocalState, key string) (model.VersionID, error) {
	newAllowed := !local.isWithdrawn(p.To) && !p.Aborted
	oldAllowed := !local.isWithdrawn(p.From)
	switch {
	case newAllowed && oldAllowed:
		if !newVersionStopped(row, local) && inStepShare(p, row, local, key) {
			return p.To, nil
		}
		return p.From, nil
	case oldAllowed:
		return p.From, nil
	case newAllowed:
		return p.To, nil
	default:
		return "", ErrNoVersion.New("roll-out %q: replaced version %q is withdrawn, and new version %q is withdrawn or its roll-out aborted",
			p.ID, p.From, p.To)
	}
}

// Serves reports whether a session that is pinned to the version is still served.
// A session on a withdrawn version ends. A session on a version that was found
// bad also ends, unless there is no other version.
func Serves(p Plan, row Progress, local LocalState, v model.VersionID) bool {
	if local.isWithdrawn(v) {
		return false
	}
	if v != p.To || local.isWithdrawn(p.From) && !p.Aborted {
		return true
	}
	return !p.Aborted && !newVersionStopped(row, local)
}

// newVersionStopped reports whether the new version is stopped on this VM, in its
// failure domain or everywhere.
func newVersionStopped(row Progress, local LocalState) bool {
	return row.Phase == RolledBack || local.Stopped || row.StoppedIn(local.Domain)
}

// inStepShare reports whether the current step assigns the new version to the key.
func inStepShare(p Plan, row Progress, local LocalState, key string) bool {
	if row.Phase == Done {
		return true
	}
	if row.Phase != Running || row.Step >= len(p.Steps) {
		return false
	}
	step := p.Steps[row.Step]
	if len(step.Domains) > 0 && !slices.Contains(step.Domains, local.Domain) {
		return false
	}
	return hashFraction(p.ID, key) < step.Share
}

// hashFraction maps the key to [0, 1), independently for each roll-out.
func hashFraction(id ID, key string) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(id))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(key)
	const mantissaBits = 53
	return float64(h.Sum64()>>(64-mantissaBits)) / (1 << mantissaBits)
}
