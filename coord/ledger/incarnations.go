package ledger

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/poplarshore/poplarshore/coord/store"
)

const (
	// maxGaps bounds the gaps stored per incarnation. Beyond it, the oldest gaps are merged into
	// one, which then also covers the segments between them.
	maxGaps = 256
	// incompleteRetention is the time after its last segment at which the row of an incarnation
	// without a final segment, or with gaps, is deleted.
	incompleteRetention = 30 * 24 * time.Hour
)

// Gap is a range of missing sequence numbers, both ends included.
type Gap struct {
	From       uint64    `json:"from"`
	To         uint64    `json:"to"`
	DetectedAt time.Time `json:"since"` // when a later sequence number was first seen
}

// Incarnation describes which segments of one writer have been settled.
type Incarnation struct {
	// Name is WriterOptions.Incarnation.
	Name string `json:"-"`
	// NextSequence is one more than the highest sequence number seen. Sequence numbers start at 1.
	NextSequence uint64 `json:"next"`
	// Final reports that the writer's last segment was seen: Writer.Close was called and committed.
	// A writer that has ended without it may have lost entries that were not committed.
	Final bool `json:"final"`
	// Missing lists the gaps below NextSequence: segments that were never seen.
	Missing []Gap `json:"missing,omitempty"`
	// UpdatedAt is when a segment was last folded.
	UpdatedAt time.Time `json:"updated"`
	// Fence is the fencing token of the settler that wrote the row.
	Fence uint64 `json:"fence"`
}

// Complete reports whether the writer has ended and all of its segments have been settled.
func (i Incarnation) Complete() bool { return i.Final && len(i.Missing) == 0 }

// check reports an error if no settler writes such a row.
func (i *Incarnation) check() error {
	if i.NextSequence > maxSequence+1 {
		return ErrCorrupt.New("next sequence number %d, which no writer reaches", i.NextSequence)
	}
	return nil
}

func incarnationsPrefix(prefix string) string { return prefix + "/incarnations/" }

// isFolded reports whether the segment with the sequence number has been settled.
func (i Incarnation) isFolded(sequence uint64) bool {
	if sequence >= i.NextSequence {
		return false
	}
	for _, gap := range i.Missing {
		if sequence >= gap.From && sequence <= gap.To {
			return false
		}
	}
	return true
}

// recordSegment records a folded segment and returns how many sequence numbers it newly shows to be
// missing.
func (i *Incarnation) recordSegment(s segment, now time.Time) int {
	i.Final = i.Final || s.Final
	i.UpdatedAt = now
	if i.isFolded(s.Sequence) {
		return 0
	}
	if s.Sequence < i.NextSequence {
		i.removeMissing(s.Sequence)
		return 0
	}
	skipped := s.Sequence - max(i.NextSequence, 1)
	if skipped > 0 {
		i.Missing = append(i.Missing, Gap{From: max(i.NextSequence, 1), To: s.Sequence - 1, DetectedAt: now})
	}
	if excess := len(i.Missing) - maxGaps; excess > 0 {
		i.Missing[excess].From = i.Missing[0].From
		i.Missing = i.Missing[excess:]
	}
	i.NextSequence = s.Sequence + 1
	return int(skipped)
}

// removeMissing removes one sequence number from the gaps, splitting the gap that contains it.
func (i *Incarnation) removeMissing(sequence uint64) {
	var gaps []Gap
	for _, gap := range i.Missing {
		if sequence < gap.From || sequence > gap.To {
			gaps = append(gaps, gap)
			continue
		}
		if sequence > gap.From {
			gaps = append(gaps, Gap{From: gap.From, To: sequence - 1, DetectedAt: gap.DetectedAt})
		}
		if sequence < gap.To {
			gaps = append(gaps, Gap{From: sequence + 1, To: gap.To, DetectedAt: gap.DetectedAt})
		}
	}
	i.Missing = gaps
}

// markReplays sets replay on the segments that an earlier pass has settled. They reappear if a
// writer or holder created the object again after it was deleted. Segments of an incarnation whose
// row can't be decoded are held back.
func (s *Settler) markReplays(ctx context.Context, batch []loadedSegment, held *heldBack) error {
	incarnations := make(map[string]Incarnation)
	for i := range batch {
		name := batch[i].segment.Incarnation
		if _, ok := incarnations[name]; !ok {
			var row Incarnation
			_, err := readRow(ctx, s.opts.Table, incarnationsPrefix(s.opts.Prefix)+name, &row)
			if err != nil {
				if err := held.skip(err, batch[i].key); err != nil {
					return err
				}
				continue
			}
			incarnations[name] = row
		}
		batch[i].replay = incarnations[name].isFolded(batch[i].segment.Sequence)
	}
	return nil
}

// updateIncarnations records the segments of a folded batch in the rows of their incarnations.
func (s *Settler) updateIncarnations(ctx context.Context, batch []loadedSegment, report *Report) error {
	byName := make(map[string][]segment)
	for _, l := range batch {
		if !l.replay {
			byName[l.segment.Incarnation] = append(byName[l.segment.Incarnation], l.segment)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		missing, err := s.updateIncarnation(ctx, name, byName[name])
		if err != nil {
			return err
		}
		report.MissingSegments += missing
		s.opts.Observer.Observe(EventGap, missing)
	}
	return nil
}

// updateIncarnation records segments in the row of their incarnation and returns how many sequence
// numbers were newly found missing.
func (s *Settler) updateIncarnation(ctx context.Context, name string, segments []segment) (int, error) {
	key := incarnationsPrefix(s.opts.Prefix) + name
	for range maxCASAttempts {
		var row Incarnation
		version, err := readRow(ctx, s.opts.Table, key, &row)
		if err != nil {
			return 0, err
		}
		if err := s.raiseFence(&row.Fence, key); err != nil {
			return 0, err
		}
		missing := 0
		for _, seg := range segments {
			missing += row.recordSegment(seg, s.opts.Clock.Now().UTC())
		}
		written, err := writeRow(ctx, s.opts.Table, key, row, version)
		if err != nil || written {
			return missing, err
		}
	}
	return 0, ErrContended.New("row of incarnation %q changed during every attempt", name)
}

// Incarnations returns every incarnation that has settled segments and was not pruned, ordered by
// name. It only reads, and needs no fencing token. Errors: ErrUnavailable; ErrCorrupt if a row can't
// be decoded, with which the other incarnations are returned.
func (s *Settler) Incarnations(ctx context.Context) ([]Incarnation, error) {
	var all []Incarnation
	var held heldBack
	err := s.scan(ctx, incarnationsPrefix(s.opts.Prefix), func(row store.Row) error {
		i, err := decodeRow[Incarnation](row)
		if err != nil {
			return held.skip(err)
		}
		i.Name = strings.TrimPrefix(row.Key, incarnationsPrefix(s.opts.Prefix))
		all = append(all, i)
		return nil
	})
	return all, cmp.Or(err, held.err)
}

// Prune deletes the rows of complete incarnations once their last segment is older than
// SettlerOptions.Retention, and the rows of the others after 30 days. It returns how many it deleted.
// Segments of a pruned incarnation that reappear are no longer recognized as replays: their entries
// are compared by request ID, or stored as late if their bucket has been compacted.
//
// Errors: ErrUnavailable; ErrCorrupt if a row can't be decoded, after the others were pruned.
func (s *Settler) Prune(ctx context.Context) (int, error) {
	pruned := 0
	var held heldBack
	err := s.scan(ctx, incarnationsPrefix(s.opts.Prefix), func(row store.Row) error {
		i, err := decodeRow[Incarnation](row)
		if err != nil {
			return held.skip(err)
		}
		age := s.opts.Clock.Since(i.UpdatedAt)
		if age < incompleteRetention && (!i.Complete() || age < s.opts.Retention) {
			return nil
		}
		deleted, err := writeOutcome(s.opts.Table.Delete(ctx, row.Key, row.Version), row.Key)
		if deleted {
			pruned++
		}
		return err
	})
	return pruned, cmp.Or(err, held.err)
}
