package engines

// Slots returns the number of requests that the upstreams of a service run at once, as far as it
// is known. Upstreams that are leaving don't count.
func (d *Directory) Slots(service string) int {
	n := 0
	for _, e := range d.ForService(service) {
		if !e.Leaving() {
			n += e.entry().Capacity
		}
	}
	return n
}
