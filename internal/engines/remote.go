package engines

import (
	"time"

	"github.com/poplarshore/poplarshore/coldstart"
	"github.com/poplarshore/poplarshore/upstream"
)

// AddRemoteWork adds prefill work that another VM sent to an upstream; unknown
// upstreams are ignored.
func (d *Directory) AddRemoteWork(id upstream.ID, work time.Duration) {
	if e := d.find(id); e != nil {
		e.AddRemoteWork(work)
	}
}

// SetRequestLimit records the limit that an upstream named to another VM; zero for none.
// Unknown upstreams are ignored.
func (d *Directory) SetRequestLimit(id upstream.ID, perSecond float64) {
	if e := d.find(id); e != nil {
		e.setRequestLimit(perSecond)
	}
}

// MarkSilent records that another VM's request to an upstream timed out while nothing came
// from it. Unknown upstreams are ignored, and so is one that has answered this VM lately.
func (d *Directory) MarkSilent(id upstream.ID) {
	if e := d.find(id); e != nil && e.SinceLastReceived() >= recentAnswer {
		e.MarkSilent()
		e.suspect(coldstart.Hint)
	}
}

// recentAnswer is the time since an upstream's last answer within which another VM's report
// that it is silent is ignored: the path from that VM may be cut.
const recentAnswer = 500 * time.Millisecond
