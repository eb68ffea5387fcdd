package model

import (
	"slices"
	"time"
)

// A caller gives up if an event of a stream takes longer than the longest of minPatience,
// patienceObjectives times the latency objective of the class and patienceGaps times its limit on the
// pause between two events.
const (
	minPatience        = 2 * time.Second
	patienceObjectives = 4
	patienceGaps       = 8
)

// Patience returns how long a caller of the class waits for the next event of a stream.
func (c *Class) Patience() time.Duration {
	return max(minPatience, patienceObjectives*millis(c.AimMS), patienceGaps*millis(c.GapMS))
}

// CanFinish reports whether the fastest of the site's engines answers a request in time if it does
// nothing else and holds the shared parts of the prompt.
func (s *Site) CanFinish(q *Request) bool {
	c := &s.Classes[q.Class]
	if c.Plain {
		return true
	}
	factor := 1.0
	if f := s.Engine.TimeFactors; len(f) > 0 {
		factor = slices.Min(f)
	}
	first := factor*s.Engine.prefillMS(q.Prompt.Parts[len(q.Prompt.Parts)-1].Tokens, q.Prompt.Tokens) + s.Engine.FirstMS
	context := float64(q.Prompt.Tokens) + float64(q.Output)/2
	steps := float64(q.Output) * factor * (s.Engine.StepMS + s.Engine.StepPerRunMS + s.Engine.StepPerKTokenMS*context/thousand)
	return millis(first) <= c.Patience() && first+steps <= c.DeadlineMS
}

// prefillMS returns the time in milliseconds in which a prefill engine that does nothing else prefills
// the last tokens of a prompt of length tokens.
func (e *Engine) prefillMS(last, length int) float64 {
	pairs := float64(last) * (float64(length) - float64(last)/2)
	return float64(last)/e.PrefillPerMS + e.PairsMS*pairs/million
}
