package quarantine

import (
	"cmp"
	"maps"
	"slices"
)

// MaxEntries bounds the entries of a List.
const MaxEntries = 64

// List is the quarantines of all keys. Lists of several VMs are merged entry by entry, in
// any order.
type List map[Key]Entry

// Merge adds the entries that are new or supersede known ones, and returns them.
func (l List) Merge(entries ...Entry) []Entry {
	var changed []Entry
	for _, e := range entries {
		if known, exists := l[e.Key]; exists && !e.Supersedes(known) {
			continue
		}
		l[e.Key] = e
		changed = append(changed, e)
	}
	l.trim()
	return changed
}

// trim removes entries beyond MaxEntries: first those that were lifted, then those that
// changed the longest ago.
func (l List) trim() {
	for len(l) > MaxEntries {
		e := slices.MinFunc(l.Entries(), func(x, y Entry) int {
			if x.Lifted() != y.Lifted() {
				if x.Lifted() {
					return -1
				}
				return 1
			}
			return cmp.Compare(x.changedAt(), y.changedAt())
		})
		delete(l, e.Key)
	}
}

// Entries returns the entries in the order of their keys.
func (l List) Entries() []Entry {
	return slices.SortedFunc(maps.Values(l), func(x, y Entry) int {
		return x.Key.Compare(y.Key)
	})
}

// Active returns the entry of a key that is kept out.
func (l List) Active(key Key) (Entry, bool) {
	e, exists := l[key]
	return e, exists && !e.Lifted()
}
