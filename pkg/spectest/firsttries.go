package spectest

// FirstTries counts callers' first attempts at boxes that are cut off from all upstreams and at the others.
type FirstTries struct {
	CutAsked, CutServed, OthersAsked, OthersServed int
}

// Count counts one first attempt.
func (f *FirstTries) Count(cut, served bool) {
	asked, servedCount := &f.OthersAsked, &f.OthersServed
	if cut {
		asked, servedCount = &f.CutAsked, &f.CutServed
	}
	*asked++
	if served {
		*servedCount++
	}
}

// KeepsRecovery reports whether the platform's rule on such boxes is kept: first attempts are served there at least two
// thirds as often as elsewhere, or few fail there.
func (f FirstTries) KeepsRecovery() bool {
	failed := f.CutAsked - f.CutServed
	few := failed <= 10+(f.CutAsked+f.OthersAsked)/50
	// The shares are compared by cross multiplication.
	return few || 3*f.CutServed*f.OthersAsked >= 2*f.OthersServed*f.CutAsked
}
