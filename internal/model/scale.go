package model

// Scale multiplies the speed of the site's engines by speed and the traffic of its days by
// traffic. StepPerRunMS stays, since the time that each further request adds to a step does
// not depend on an engine's speed.
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

// LimitLength limits the day to a length in seconds, if seconds is positive.
func (d *Day) LimitLength(seconds float64) {
	if seconds > 0 {
		d.LengthS = min(d.LengthS, seconds)
	}
}
