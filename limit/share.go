package limit

// standing is what a VM knows when it works out its share of one limit.
// Demands are in parts of the limit; none counts less than the floor.
type standing struct {
	floor float64
	// own is this VM's demand at its lowest within the window.
	own float64
	// others is the sum of the other VMs' demands, as they last told.
	others float64
	// members counts all VMs, this one too; silent those not in touch.
	members int
	silent  int
}

// share returns this VM's part of the limit. Silent VMs keep an even part each;
// the rest is divided among the VMs in touch: by demand if it is short, else
// demand and an even part of what is left.
func (s standing) share() float64 {
	inTouch := float64(s.members - s.silent)
	part := inTouch / float64(s.members)
	own, total := s.own/part, (s.own+s.others)/part
	if total > 1 {
		return part * own / total
	}
	return part * (own + (1-total)/inTouch)
}
