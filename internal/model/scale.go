package model

// Scale makes the site's engines read and write at a part of their speed, and gives its days
// a part of their traffic. What does not depend on an engine's speed, the time that each
// request beside adds to a step, stays.
func (s *Site) Scale(speed, traffic float64) {
	s.Engine.StepMS /= speed
	s.Engine.PairsMS /= speed
	s.Engine.PrefillPerMS *= speed
	for i := range s.Days {
		for j := range s.Days[i].PerS {
			s.Days[i].PerS[j] *= traffic
		}
	}
}

// Until ends the day after so many seconds, where it lasts longer.
func (d *Day) Until(seconds float64) {
	if seconds > 0 {
		d.LengthS = min(d.LengthS, seconds)
	}
}
