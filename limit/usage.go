package limit

import (
	"math"
	"time"

	"github.com/poplarshore/poplarshore/account"
)

const (
	// usageMemory is the time constant of the exponential decay of what accounts used.
	usageMemory = 5 * time.Second
	// usageEpoch is the time after which the growing weights of newer use are scaled down to 1
	// again, and minUsage the part of all use below which an account is then removed.
	usageEpoch = 20 * usageMemory
	minUsage   = 1e-4
)

// accountUsage follows how much each account used lately, in tokens. It is not safe for
// concurrent use.
type accountUsage struct {
	// since is when the weight of new use was 1, and total the sum of byAccount, in weighted
	// tokens.
	since     time.Time
	total     float64
	byAccount map[account.ID]float64
}

func newAccountUsage() *accountUsage { return &accountUsage{byAccount: make(map[account.ID]float64)} }

// add records that an account starts to use cost tokens. Instead of lowering older use, newer
// use weighs more.
func (u *accountUsage) add(id account.ID, cost float64, now time.Time) {
	if now.Sub(u.since) > usageEpoch {
		u.rescale(now)
	}
	weighted := cost * math.Exp(float64(now.Sub(u.since))/float64(usageMemory))
	u.byAccount[id] += weighted
	u.total += weighted
}

func (u *accountUsage) rescale(now time.Time) {
	factor := math.Exp(-float64(now.Sub(u.since)) / float64(usageMemory))
	least := u.total * minUsage
	u.since, u.total = now, 0
	for id, used := range u.byAccount {
		if used < least {
			delete(u.byAccount, id)
			continue
		}
		u.byAccount[id] = used * factor
		u.total += used * factor
	}
}

// isUnderShare reports whether an account used no more than an even part of what all used.
func (u *accountUsage) isUnderShare(id account.ID) bool {
	return u.byAccount[id]*float64(len(u.byAccount)) <= u.total
}
