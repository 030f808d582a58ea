package ledger

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/poplarshore/poplarshore/coord/store"
)

const (
	maxSpans = 256                 // remembered gaps of one incarnation
	forget   = 30 * 24 * time.Hour // after which an incarnation without an end is dropped
)

// Span is a range of sequence numbers, both ends included.
type Span struct {
	From  uint64    `json:"from"`
	To    uint64    `json:"to"`
	Since time.Time `json:"since"` // when it was found missing
}

// Incarnation tells what is known of one writer's segments.
type Incarnation struct {
	Name string `json:"-"`
	// Next is one more than the highest sequence number seen.
	Next uint64 `json:"next"`
	// Final reports that the writer said that nothing follows. Without it, a
	// writer that is gone may have lost what it had not written.
	Final bool `json:"final"`
	// Missing lists the numbers below Next that were never seen.
	Missing []Span `json:"missing,omitempty"`
	// Updated is when a segment was last folded.
	Updated time.Time `json:"updated"`
	Fence   uint64    `json:"fence"`
}

// Complete reports whether nothing is or will be missing.
func (i Incarnation) Complete() bool { return i.Final && len(i.Missing) == 0 }

func incarnationsPrefix(prefix string) string { return prefix + "/incarnations/" }

// folded reports whether the sequence number has been counted.
func (i Incarnation) folded(sequence uint64) bool {
	if sequence >= i.Next {
		return false
	}
	for _, span := range i.Missing {
		if sequence >= span.From && sequence <= span.To {
			return false
		}
	}
	return true
}

// record takes in a folded segment and returns how many numbers were skipped.
func (i *Incarnation) record(s segment, now time.Time) int {
	i.Final = i.Final || s.Final
	i.Updated = now
	if i.folded(s.Sequence) {
		return 0
	}
	if s.Sequence < i.Next {
		i.fill(s.Sequence)
		return 0
	}
	gap := s.Sequence - max(i.Next, 1)
	if gap > 0 {
		i.Missing = append(i.Missing, Span{From: max(i.Next, 1), To: s.Sequence - 1, Since: now})
	}
	if extra := len(i.Missing) - maxSpans; extra > 0 {
		i.Missing[extra].From = i.Missing[0].From
		i.Missing = i.Missing[extra:]
	}
	i.Next = s.Sequence + 1
	return int(gap)
}

// fill takes one number out of the gaps.
func (i *Incarnation) fill(sequence uint64) {
	var spans []Span
	for _, span := range i.Missing {
		if sequence < span.From || sequence > span.To {
			spans = append(spans, span)
			continue
		}
		if sequence > span.From {
			spans = append(spans, Span{From: span.From, To: sequence - 1, Since: span.Since})
		}
		if sequence < span.To {
			spans = append(spans, Span{From: sequence + 1, To: span.To, Since: span.Since})
		}
	}
	i.Missing = spans
}

// markReplays finds the segments that were counted before and came back.
func (s *Settler) markReplays(ctx context.Context, batch []loaded) error {
	known := make(map[string]Incarnation)
	for at := range batch {
		name := batch[at].segment.Incarnation
		if _, ok := known[name]; !ok {
			var row Incarnation
			if _, err := readRow(ctx, s.opts.Table, incarnationsPrefix(s.opts.Prefix)+name, &row); err != nil {
				return err
			}
			known[name] = row
		}
		batch[at].replay = known[name].folded(batch[at].segment.Sequence)
	}
	return nil
}

// advance records a folded batch in its incarnations' rows.
func (s *Settler) advance(ctx context.Context, batch []loaded, report *Report) error {
	byName := make(map[string][]segment)
	for _, l := range batch {
		if !l.replay {
			byName[l.segment.Incarnation] = append(byName[l.segment.Incarnation], l.segment)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		gaps, err := s.advanceOne(ctx, name, byName[name])
		if err != nil {
			return err
		}
		report.Gaps += gaps
		s.opts.Observer.Observe(EventGap, gaps)
	}
	return nil
}

func (s *Settler) advanceOne(ctx context.Context, name string, segments []segment) (int, error) {
	key := incarnationsPrefix(s.opts.Prefix) + name
	for range casAttempts {
		var row Incarnation
		version, err := readRow(ctx, s.opts.Table, key, &row)
		if err != nil {
			return 0, err
		}
		if err := s.claim(&row.Fence, key); err != nil {
			return 0, err
		}
		gaps := 0
		for _, seg := range segments {
			gaps += row.record(seg, s.opts.Clock.Now().UTC())
		}
		done, err := writeRow(ctx, s.opts.Table, key, row, version)
		if err != nil || done {
			return gaps, err
		}
	}
	return 0, ErrContended.New("incarnation %q", name)
}

// Incarnations returns what is known of every writer, in order of their names.
// Errors: ErrUnavailable, ErrCorrupt.
func (s *Settler) Incarnations(ctx context.Context) ([]Incarnation, error) {
	var all []Incarnation
	err := s.scan(ctx, incarnationsPrefix(s.opts.Prefix), func(row store.Row) error {
		i, err := decode[Incarnation](row)
		i.Name = strings.TrimPrefix(row.Key, incarnationsPrefix(s.opts.Prefix))
		all = append(all, i)
		return err
	})
	return all, err
}

// Prune drops the rows of complete incarnations after the retention, and of
// others after 30 days. It returns how many. Errors: ErrUnavailable, ErrCorrupt.
func (s *Settler) Prune(ctx context.Context) (int, error) {
	pruned := 0
	err := s.scan(ctx, incarnationsPrefix(s.opts.Prefix), func(row store.Row) error {
		i, err := decode[Incarnation](row)
		if err != nil {
			return err
		}
		age := s.opts.Clock.Since(i.Updated)
		if age < forget && (!i.Complete() || age < s.opts.Retain) {
			return nil
		}
		done, err := wrote(s.opts.Table.Delete(ctx, row.Key, row.Version), row.Key)
		if done {
			pruned++
		}
		return err
	})
	return pruned, err
}
