package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["extra"] = extraCase }

// extraCase sends streams that may not be repeated to model engines. Half of the engines send additional bytes after
// one in 33 answers, for 5 s at a time.
func extraCase(w *world, trouble bool) (bool, error) {
	const (
		perSecond = 40
		length    = 30 * time.Second
	)
	for i := range engineCount {
		stage := "decode"
		if i < len(zones) {
			stage = "prefill"
		}
		_, err := w.newEngine(zones[i%len(zones)], stage, func(s *engineSpec) {
			if trouble && i >= engineCount/2 {
				s.ExtraEvery = 33
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
	go w.garbleAtTimes(length, 5*time.Second, 4500*time.Millisecond)
	results := w.play(nodes, perSecond, length, clueHint)
	// What was refused may still run.
	time.Sleep(time.Second)
	ran := w.runs()
	served, refused, lied := 0, 0, 0
	for id, r := range results {
		switch r.status {
		case http.StatusOK:
			if r.whole {
				served++
			}
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			refused++
			if ran[id] > 0 {
				lied++
				w.record.add("BROKEN: %s was answered %d and has run", id, r.status)
			}
		}
	}
	w.record.add("%d requests: %d served whole, %d refused, %d of these have run", len(results), served, refused, lied)
	if served < len(results)/2 {
		return false, fmt.Errorf("only %d of %d requests were served", served, len(results))
	}
	return lied == 0, nil
}
