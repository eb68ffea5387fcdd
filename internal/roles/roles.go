// Package roles decides which engines of a service do prefill, decode or both.
// It is pure: plain values in, a decision with its reasons out; no clock and
// no network.
package roles

// Split is how many engines fill each role.
type Split struct {
	Prefill int
	Decode  int
	Both    int
}

// Engines returns how many engines the split has.
func (s Split) Engines() int { return s.Prefill + s.Decode + s.Both }
