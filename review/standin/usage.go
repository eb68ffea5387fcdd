package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// usageWindow is the sheet's ReportWindowS.
const usageWindow = 5 * time.Second

// cloud is a stand-in for the platform's calls that one machine at a time makes.
type cloud struct {
	address string
	record  *record

	mu      sync.Mutex
	holder  string
	reports map[int64]map[string]int
	// differing counts the reports that were accepted for a window that had been reported with other counts.
	differing int
}

func newCloud(rec *record) (*cloud, error) {
	l, err := net.Listen("tcp", loopback(3, 1)+":0")
	if err != nil {
		return nil, err
	}
	c := &cloud{address: l.Addr().String(), record: rec, reports: make(map[int64]map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", c.usage)
	go func() { _ = http.Serve(l, mux) }()
	return c, nil
}

func (c *cloud) usage(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Window int64
		Counts map[string]int
	}
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = r.Header.Get("Duty-Holder")
	before, again := c.reports[body.Window]
	c.record.add("usage report from %s, fence %s: window %d, counts %v, again=%v", c.holder, r.Header.Get("Fencing-Token"), body.Window, body.Counts, again)
	switch {
	case !again:
		c.reports[body.Window] = body.Counts
	case !maps.Equal(before, body.Counts):
		c.differing++
		c.record.add("BROKEN: window %d was reported with counts %v before", body.Window, before)
	}
	w.WriteHeader(http.StatusOK)
}

// reported returns the number of windows that were reported, and the last holder.
func (c *cloud) reported() (int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.reports), c.holder
}

func init() { cases["usage"] = usageCase }

// usageCase sends requests of client accounts. One write to the store gets no answer and is done 5.8 seconds later,
// and then the machine that reports the usage is stopped and started again.
func usageCase(w *world, trouble bool) (bool, error) {
	const (
		perSecond = 22
		length    = 55 * time.Second
		lateBy    = 5800 * time.Millisecond
	)
	c, err := newCloud(w.record)
	if err != nil {
		return false, err
	}
	w.extra = map[string]any{
		"cloud":        map[string]any{"address": c.address, "calls_per_s": 50, "duties": []string{"usage_reporting"}},
		"usage_window": usageWindow.String(), "revoke_bound": "5000ms",
	}
	for i := range 6 {
		if _, err := w.startEngine("lodge-desk", zones[i%len(zones)], engineSpec{ID: fmt.Sprintf("d-%d", i+1), Slots: 12, WorkMS: 2000, BodyBytes: 800}); err != nil {
			return false, err
		}
	}
	accounts := []any{}
	for i := range 4 {
		accounts = append(accounts, map[string]any{"Name": fmt.Sprintf("huka27%d", i), "Keys": []string{fmt.Sprintf("key-%d", i)}})
	}
	w.store.put("op", "config", map[string]any{
		"Version": 7,
		"Routes": []any{map[string]any{"Name": "r-lodge", "Host": "ficu95.example", "Prefix": "/pule252/", "Kind": "non_idempotent", "TimeoutMs": 4000,
			"TargetLatencyMs": 400, "Priority": 2, "Service": "lodge-desk", "Attempts": 1}},
		"Services": []any{map[string]any{"Name": "lodge-desk", "HealthPath": "/health", "ConnectionLimit": 110, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  accounts,
	})
	nodes, err := w.startNodes()
	if err != nil {
		return false, err
	}
	if trouble {
		go func() {
			for n := 0; n < 4; n, _ = c.reported() {
				time.Sleep(50 * time.Millisecond)
			}
			done := w.store.delayNext(lateBy, func(t tx) bool {
				for _, p := range t.Puts {
					if strings.HasPrefix(p.Key, "usage/w/") {
						w.record.add("the write of %s gets no answer: %s", p.Key, p.Value)
						return true
					}
				}
				return false
			})
			w.record.add("the write is done late, status %d", <-done)
			_, holder := c.reported()
			for _, n := range nodes {
				if n.name != holder {
					continue
				}
				w.record.add("%s gets SIGTERM", n.name)
				n.up.Store(false)
				_ = n.cmd.Process.Signal(syscall.SIGTERM)
				_ = n.cmd.Wait()
				w.record.add("%s has ended and starts again", n.name)
				if err := w.startNode(n, false); err != nil {
					w.record.add("%s does not start: %v", n.name, err)
				}
			}
		}()
	}
	results := w.play(nodes, perSecond, length, func(i int) call {
		id := fmt.Sprintf("%016x", 0x1c41d07be2000000+i)
		return call{id: id, method: "POST", host: "ficu95.example", path: "/pule252/2f", limit: 4 * time.Second, body: strings.Repeat("b", 600),
			header: map[string]string{"Credential": fmt.Sprintf("key-%d", i%4)}}
	})
	served := 0
	for _, r := range results {
		if r.status == 200 && r.whole {
			served++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w.record.add("%d requests: %d served; %d windows reported, %d reported again with other counts", len(results), served, len(c.reports), c.differing)
	if served < len(results)/2 || len(c.reports) < 5 {
		return false, fmt.Errorf("only %d of %d requests were served, and %d windows reported", served, len(results), len(c.reports))
	}
	return c.differing == 0, nil
}
