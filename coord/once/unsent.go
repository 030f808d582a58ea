package once

import "sync"

// unsent remembers the ids of claims for which this VM knows that no request
// was sent. It holds at most max ids and forgets the oldest first.
type unsent struct {
	mu    sync.Mutex
	max   int
	ids   map[string]struct{}
	order []string
}

func newUnsent(limit int) *unsent {
	return &unsent{max: limit, ids: make(map[string]struct{})}
}

// add records an id and reports whether another one was forgotten for it.
func (u *unsent) add(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.ids[id]; ok {
		return false
	}
	u.ids[id] = struct{}{}
	u.order = append(u.order, id)
	if len(u.order) <= u.max {
		return false
	}
	delete(u.ids, u.order[0])
	u.order = u.order[1:]
	return true
}

func (u *unsent) has(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.ids[id]
	return ok
}
