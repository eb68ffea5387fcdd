package main

import (
	"fmt"
	"time"
)

func init() { cases["leaving"] = leavingCase }

// leavingCase sends streams to model engines. A quarter of the engines report that they leave and are gone two
// seconds later; others come four seconds after that. For the 5 s before, one in twenty answers of half
// of the engines has no length and ends with its channel.
func leavingCase(w *world, trouble bool) (bool, error) {
	const (
		perSecond = 40
		length    = 50 * time.Second
		atOnce    = engineCount / 4
	)
	open := func(s *engineSpec) { s.OpenEvery = 20 }
	var decode []*engineProcess
	for i := range engineCount {
		stage, change := "decode", open
		if i < len(zones) {
			stage, change = "prefill", nil
		}
		if i >= len(zones)+engineCount/2 {
			change = nil
		}
		e, err := w.newEngine(zones[i%len(zones)], stage, change)
		if err != nil {
			return false, err
		}
		if change != nil {
			decode = append(decode, e)
		}
	}
	w.store.put("op", "config", config())
	nodes, err := w.startNodes()
	if err != nil {
		return false, err
	}
	go func() {
		for began := time.Now(); time.Since(began) < length-12*time.Second; {
			w.garble(true)
			time.Sleep(5 * time.Second)
			w.garble(false)
			if !trouble {
				time.Sleep(6 * time.Second)
				continue
			}
			leaving := decode[:atOnce]
			decode = decode[atOnce:]
			for _, e := range leaving {
				w.drain(e)
			}
			time.Sleep(2 * time.Second)
			for _, e := range leaving {
				w.kill(e)
			}
			time.Sleep(4 * time.Second)
			for _, e := range leaving {
				if n, err := w.newEngine(e.zone, "decode", open); err == nil {
					decode = append(decode, n)
				}
			}
		}
	}()
	results := w.play(nodes, perSecond, length, clueHint)
	served, short, cut, failed := 0, 0, 0, 0
	for id, r := range results {
		switch {
		case r.status == 200 && r.whole && events(r.body) < pieces:
			short++
			w.record.add("BROKEN: the answer to %s ended as complete after %d of %d events", id, events(r.body), pieces)
		case r.status == 200 && r.whole:
			served++
		case r.status == 200:
			cut++
		default:
			failed++
		}
	}
	w.record.add("%d requests: %d served whole, %d cut and seen as cut, %d refused or failed, %d short and seen as complete", len(results), served, cut, failed, short)
	if served < len(results)/2 {
		return false, fmt.Errorf("only %d of %d requests were served", served, len(results))
	}
	return short == 0, nil
}
