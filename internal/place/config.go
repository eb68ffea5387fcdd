package place

import "time"

// Config holds the settings of a Placer. The timing of engines is learned and not configured.
type Config struct {
	// DataCentre is the data centre of this VM.
	DataCentre string
	// LinkMbps is the speed of this VM's network link in Mbit/s, or 0 if it is unknown.
	LinkMbps float64
	// RemotePenalty is added to the cost of targets in other data centres.
	RemotePenalty time.Duration
	// Seed makes random choices reproducible. With 0 a random seed is drawn.
	Seed uint64
	// Off disables mechanisms, to measure what each of them gains.
	Off Off
}

// Off selects the mechanisms that are disabled.
type Off struct {
	// Profile disables learning the timing of engines: the initial values are kept.
	Profile bool
	// Pauses disables the limit on the gaps between events: prompts are prefilled beside streams
	// whatever it does to their gaps.
	Pauses bool
	// Slowdown disables learning the speed of each engine: all engines of a service are assumed to
	// be equally fast.
	Slowdown bool
	// Cache disables the cache model: no prompt is assumed to be cached.
	Cache bool
	// Stay disables the higher weight of prefill work, which sends sessions back to the engine that
	// has them cached: a prefill costs no more than the time that its own request waits.
	Stay bool
}

// DefaultConfig returns the default settings of a VM in a data centre.
func DefaultConfig(dataCentre string) Config {
	return Config{DataCentre: dataCentre, RemotePenalty: 9 * time.Millisecond}
}
