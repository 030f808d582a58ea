package rollout

import "github.com/poplarshore/poplarshore/model"

// CheckWithdrawal returns ErrLastVersion if the withdrawal of a version would leave
// no version of the model, unless it is forced. The replaced version of a roll-out
// in progress counts like any other: it may be withdrawn while the new version is
// not, and the roll-out then cannot roll back. A nil withdrawn means that no version
// is withdrawn.
func CheckWithdrawal(v model.VersionID, versions []model.VersionID, withdrawn func(model.VersionID) bool,
	force bool) error {
	if force {
		return nil
	}
	for _, other := range versions {
		if other != v && (withdrawn == nil || !withdrawn(other)) {
			return nil
		}
	}
	return ErrLastVersion.New("withdrawing version %q leaves no version of the model; force the withdrawal to refuse all its requests",
		v)
}
