package ledger

import "github.com/joomcode/errorx"

// heldBack collects the segments that one pass can't settle, because a row that they need can't be
// decoded. They stay in the store, and the others are settled.
type heldBack struct {
	keys map[string]bool // of the segments
	err  error           // the first error
}

// skip records an error of type ErrCorrupt, and that the segments with the keys need the row. It
// returns other errors.
func (h *heldBack) skip(err error, keys ...string) error {
	if !errorx.IsOfType(err, ErrCorrupt) {
		return err
	}
	if h.err == nil {
		h.err = err
	}
	if h.keys == nil {
		h.keys = make(map[string]bool)
	}
	for _, key := range keys {
		h.keys[key] = true
	}
	return nil
}

// others returns the segments of a batch that are not held back.
func (h *heldBack) others(batch []loadedSegment) []loadedSegment {
	var others []loadedSegment
	for _, l := range batch {
		if !h.keys[l.key] {
			others = append(others, l)
		}
	}
	return others
}
