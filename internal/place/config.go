package place

import "time"

// Config is the figures that placement reckons with.
type Config struct {
	// DataCentre is this VM's own.
	DataCentre string
	// PrefillRate is how many prompt tokens a prefill engine reads in a
	// millisecond. The engines' real speed is learned from their answers.
	PrefillRate float64
	// InPlaceRate is the same for a decode engine, between its other work.
	InPlaceRate float64
	// SeenFor is how long a prompt part is taken to stay in a target's cache.
	SeenFor time.Duration
	// RemotePenalty is added to the price of targets in other data centres.
	RemotePenalty time.Duration
}

// DefaultConfig returns the figures of the users' sheets.
func DefaultConfig(dataCentre string) Config {
	return Config{
		DataCentre:    dataCentre,
		PrefillRate:   300,
		InPlaceRate:   150,
		SeenFor:       3 * time.Second,
		RemotePenalty: 4 * time.Millisecond,
	}
}
