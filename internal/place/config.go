package place

import "time"

// Config holds the settings of a Placer. The timing of engines is learned and not configured.
type Config struct {
	// DataCentre is the name of the data centre that this VM is in.
	DataCentre string
	// LinkMbps is the speed of this VM's network link in Mbit/s, or 0 if it is unknown.
	LinkMbps float64
	// RemotePenalty is added to the cost of targets in other data centres.
	RemotePenalty time.Duration
	// Seed makes random choices reproducible. With 0 a random seed is drawn.
	Seed uint64
	// Off disables single mechanisms, to measure what each of them gains.
	Off Off
}

// Off selects mechanisms of the placement to be disabled.
type Off struct {
	// Profile disables learning the timing of engines: the initial values are kept.
	Profile bool
	// Pauses disables the limit on the gaps between the events of a stream: prompts are prefilled
	// in place no matter how long the running streams pause meanwhile.
	Pauses bool
	// Slowdown disables learning the speed of each engine: all engines of a service are assumed to
	// be equally fast.
	Slowdown bool
	// Cache disables the cache model: no prompt is assumed to be cached.
	Cache bool
	// Stay disables the higher weight of prefill work, which makes sessions stay at the engine that
	// has them cached. If Stay is set, a prefill costs no more than the time that its own request
	// waits.
	Stay bool
}

// DefaultConfig returns the default settings of a VM in a data centre.
func DefaultConfig(dataCentre string) Config {
	return Config{DataCentre: dataCentre, RemotePenalty: 9 * time.Millisecond}
}
