package limit

// standing is what a VM knows when it works out its share of one limit.
// Demands are in parts of the limit.
type standing struct {
	// own is this VM's demand at its lowest within the window.
	own float64
	// others is the sum of the other VMs' demands, as they last told.
	others float64
	// members counts all VMs, this one too; silent those not in touch.
	members int
	silent  int
	// even is the part of the limit that is divided evenly whatever the
	// demand, 0 to 1.
	even float64
}

// share returns this VM's part of the limit. Silent VMs keep an even part each;
// the rest is divided among the VMs in touch.
func (s standing) share() float64 {
	inTouch := float64(s.members - s.silent)
	part := inTouch / float64(s.members)
	return part * (s.even/inTouch + (1-s.even)*s.byDemand(part, inTouch))
}

// byDemand divides the part of the limit that is in touch: by demand if it is
// short, else demand and an even part of what is left.
func (s standing) byDemand(part, inTouch float64) float64 {
	own := s.own / part
	total := own + s.others/part
	if total > 1 {
		return own / total
	}
	return own + (1-total)/inTouch
}
