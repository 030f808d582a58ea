package rollout

import "github.com/poplarshore/poplarshore/model"

// CheckWithdrawal returns ErrLastVersion if the withdrawal of a version would
// leave none of the model's versions, unless it is forced. It counts the version
// that a roll-out under way would return to like any other: withdrawing that one
// is allowed while the new one stands, and the roll-out then can't go back.
func CheckWithdrawal(v model.VersionID, versions []model.VersionID, withdrawn func(model.VersionID) bool, force bool) error {
	if force {
		return nil
	}
	for _, other := range versions {
		if other != v && (withdrawn == nil || !withdrawn(other)) {
			return nil
		}
	}
	return ErrLastVersion.New("withdrawing %q leaves no version; force it to refuse all requests", v)
}
