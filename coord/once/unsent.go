package once

import "sync"

// unsentClaims is a set of the IDs of claims for which this VM knows that no request
// was sent. It contains at most maxIDs IDs and evicts the oldest first.
type unsentClaims struct {
	mu          sync.Mutex
	maxIDs      int
	ids         map[string]struct{}
	oldestFirst []string
}

func newUnsentClaims(maxIDs int) *unsentClaims {
	return &unsentClaims{maxIDs: maxIDs, ids: make(map[string]struct{})}
}

// add inserts an ID and reports whether the oldest one was evicted.
func (u *unsentClaims) add(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.ids[id]; ok {
		return false
	}
	u.ids[id] = struct{}{}
	u.oldestFirst = append(u.oldestFirst, id)
	if len(u.oldestFirst) <= u.maxIDs {
		return false
	}
	delete(u.ids, u.oldestFirst[0])
	u.oldestFirst = u.oldestFirst[1:]
	return true
}

func (u *unsentClaims) contains(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.ids[id]
	return ok
}
