package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["garbage"] = garbageCase }

// garbageCase sends streams to model engines. Half of the engines answer one in fifty requests with bytes that are
// no response, for 5.5 s at a time. The platform kills a process that exceeds its memory, and starts it again.
func garbageCase(w *world, trouble bool) (bool, error) {
	const (
		perSecond = 40
		length    = 70 * time.Second
	)
	for i := range engineCount {
		stage := "decode"
		if i < len(zones) {
			stage = "prefill"
		}
		_, err := w.newEngine(zones[i%len(zones)], stage, func(s *engineSpec) {
			if trouble && i >= engineCount/2 {
				s.GarbageEvery, s.GarbageMB, s.GarbageMBPerS = 50, 200, 100
			}
		})
		if err != nil {
			return false, err
		}
	}
	w.store.put("op", "config", config())
	nodes, err := w.startNodes()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for _, n := range nodes {
		watching.Go(func() { w.limitMemory(n, stop) })
	}
	go w.garbleAtTimes(length, 5500*time.Millisecond, 4*time.Second)
	results := w.play(nodes, perSecond, length, clueHint)
	close(stop)
	watching.Wait()
	served, often := 0, 0
	for _, r := range results {
		if r.status == 200 && r.whole {
			served++
		}
	}
	for _, n := range nodes {
		w.record.add("%s: %d ends over its memory, %d MB at most", n.name, n.ends, n.peakMB)
		if n.ends >= 3 {
			often++
		}
	}
	w.record.add("%d requests: %d served whole; %d of %d machines ended three times", len(results), served, often, len(nodes))
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	// A tenth of the machines, two at least.
	return often < max(2, (nodeCount+9)/10), nil
}
