package place

import "time"

// Config is a placer's settings. What engines take is no setting: it is learned.
type Config struct {
	// DataCentre is this VM's own.
	DataCentre string
	// LinkMbps is the speed of this VM's network link; 0 is unknown.
	LinkMbps float64
	// RemotePenalty is added to the price of targets in other data centres.
	RemotePenalty time.Duration
	// Seed makes the random part of the prices repeat; 0 draws one.
	Seed uint64
	// Off switches mechanisms off, to measure what they are worth.
	Off Off
}

// Off is the mechanisms that are switched off.
type Off struct {
	// Profile keeps the profile's prior: nothing is learned of the engines.
	Profile bool
	// Pauses lets prompts be read beside streams whatever it does to their pauses.
	Pauses bool
	// Slowdown takes all engines of a service for equally fast.
	Slowdown bool
	// Cache takes no prompt for cached.
	Cache bool
	// Stay weighs a prefill's work no more than the time that its request waits.
	Stay bool
}

// DefaultConfig returns the settings of a VM of a data centre.
func DefaultConfig(dataCentre string) Config {
	return Config{DataCentre: dataCentre, RemotePenalty: 9 * time.Millisecond}
}
