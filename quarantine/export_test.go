package quarantine

// Size returns the numbers of crashes and of their suspects that are remembered.
func (b *Blame) Size() (crashes, suspects int) {
	for _, c := range b.crashes {
		suspects += len(c.suspects)
	}
	return len(b.crashes), suspects
}
