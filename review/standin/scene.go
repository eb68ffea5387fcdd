package main

import (
	"fmt"
	"sync"
	"time"
)

// zones are the zones of the sheet.
var zones = []string{"kakkanad", "edappally", "vyttila"}

// The sheet's machines and engines, and the platform's limit on the memory of a process.
const (
	nodeCount   = 8
	engineCount = 12
	slots       = 48
	memoryMB    = 284
)

// The stream of a clue hint: the sheet's 89 tokens, with pauses under the sheet's 150 ms.
const (
	pieces = 90
	gapMS  = 40
)

// config returns a manifest with the sheet's stream without resumption.
func config() map[string]any {
	return map[string]any{
		"Version": 7,
		"Routes": []any{map[string]any{"Name": "r-clue", "Host": "ficu95.example", "Prefix": "/pufi791/", "Kind": "streaming", "TimeoutMs": 15000,
			"TargetLatencyMs": 250, "Priority": 1, "Service": "solver-lm", "Attempts": 1, "SessionAffinity": true, "AllowResume": false, "TargetGapMs": 150}},
		"Services": []any{map[string]any{"Name": "solver-lm", "HealthPath": "/health", "ConnectionLimit": 300, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{"Slots": slots, "KvCacheTokens": 305000, "KvTokenBytes": 131072, "LinkMbps": 8800000.0, "HandleHoldS": 5.0,
				"SwitchS": 3.0, "Models": []any{map[string]any{"Name": "m"}}}}},
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// newEngine starts a model engine. change may change what it does.
func (w *world) newEngine(zone, stage string, change func(*engineSpec)) (*engineProcess, error) {
	w.mu.Lock()
	w.engineIDs++
	id := fmt.Sprintf("i-%02d", w.engineIDs)
	w.mu.Unlock()
	spec := engineSpec{ID: id, Stage: stage, Slots: slots, Pieces: pieces, GapMS: gapMS, SwitchMS: 3000}
	if change != nil {
		change(&spec)
	}
	return w.startEngine("solver-lm", zone, spec)
}

// startNodes starts the garnet-nodes for the first time and waits until all are ready.
func (w *world) startNodes() ([]*node, error) {
	var nodes []*node
	for i := range nodeCount {
		n := newNode(i, zones[i%len(zones)])
		if err := w.startNode(n, true); err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if err := n.awaitReady(20 * time.Second); err != nil {
			w.recordLog(n)
			return nil, err
		}
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(5 * time.Second)
	return nodes, nil
}

// clueHint returns a request for a stream.
func clueHint(i int) call {
	id := fmt.Sprintf("%016x", 0x1c41d07be2000000+i)
	return call{id: id, method: "POST", host: "ficu95.example", path: "/pufi791/2f", limit: 15 * time.Second, patience: 2 * time.Second,
		body: fmt.Sprintf("%440s", id), header: map[string]string{"Model-Name": "m", "Token-Counts": "220,90",
			"Prompt-Prefix": fmt.Sprintf("5c1e07a2:47,%x:32,%s:141", 0x91bd3f06+i%100, id)}}
}

// play sends requests at a steady rate, by turns to the nodes that are up, and returns what their clients get.
func (w *world) play(nodes []*node, perSecond int, length time.Duration, request func(i int) call) map[string]result {
	w.record.add("traffic begins")
	var wg sync.WaitGroup
	var mu sync.Mutex
	results := make(map[string]result)
	began := time.Now()
	for i := 0; time.Since(began) < length; i++ {
		c, n := request(i), nodes[i%len(nodes)]
		for k := 0; k < len(nodes) && !n.up.Load(); k++ {
			n = nodes[(i+k)%len(nodes)]
		}
		wg.Go(func() {
			w.record.add("client sends %s to %s", c.id, n.name)
			r := c.do(n.front)
			w.record.add("client of %s gets %d, %d events, whole=%v, seal=%q, err=%v", c.id, r.status, events(r.body), r.whole, r.seal, r.err)
			mu.Lock()
			defer mu.Unlock()
			results[c.id] = r
		})
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * time.Second / time.Duration(perSecond))))
	}
	wg.Wait()
	w.record.add("traffic ends")
	return results
}
