package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record writes record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{w: bufio.NewWriter(f), start: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_ = r.w.Flush()
}

// world holds the processes of a case.
type world struct {
	record *record
	store  *store
	dir    string
	node   string

	mu        sync.Mutex
	processes []*exec.Cmd
	engines   map[string]*engineProcess
	nextIP    int
	// extra holds settings that only some deployments have.
	extra     map[string]any
	engineIDs int
	beats     int
}

func newWorld(rec *record, node string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{record: rec, dir: dir, node: node, engines: make(map[string]*engineProcess)}
	if w.store, err = newStore(loopback(2, 1) + ":0"); err != nil {
		return nil, err
	}
	return w, nil
}

// close ends all processes that the world has started.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.processes {
		_ = c.Process.Kill()
	}
	for _, c := range w.processes {
		_ = c.Wait()
	}
	_ = os.RemoveAll(w.dir)
}

func (w *world) started(c *exec.Cmd) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes = append(w.processes, c)
}

// loopback returns a loopback address. Runs at the same time use different ones.
func loopback(kind, i int) string { return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, kind, i) }

// freeAddresses returns n addresses with different ports that are free at an IP address.
func freeAddresses(ip string, n int) []string {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(err)
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// node is one machine with its garnet-node.
type node struct {
	name, zone                        string
	front, ready, metrics, peer, path string

	// up is set while a process runs.
	up  atomic.Bool
	cmd *exec.Cmd
	// ends counts the processes that were killed over their memory, and peakMB is the most that one had.
	ends, peakMB int
}

// newNode returns a machine with an address and ports of its own.
func newNode(i int, zone string) *node {
	ip := loopback(0, i+1)
	at := freeAddresses(ip, 4)
	return &node{name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone: zone, front: at[0], ready: at[1], metrics: at[2], peer: at[3]}
}

// startNode starts a garnet-node with the settings that the deploy file's template gives on the sheet's machines.
func (w *world) startNode(n *node, first bool) error {
	settings := map[string]any{
		"vm": n.name, "data_centre": n.zone, "listen": n.front, "ready_listen": n.ready, "metrics_listen": n.metrics, "peer_address": n.peer,
		"store": map[string]any{"address": w.store.address, "timeout": "700ms"}, "first_start": first,
		"memory_mb": memoryMB, "file_descriptors": 4100, "link_mbps": 1000.0, "grace": "8s", "lease_gap": "3000ms", "config_bound": "2000ms",
		"retry_burst": 56, "retry_window": "10s",
	}
	maps.Copy(settings, w.extra)
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	n.path = filepath.Join(w.dir, n.name+".json")
	if err := os.WriteFile(n.path, data, 0o644); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logs.Close()
	n.cmd = exec.Command(w.node, "--settings", n.path)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GARNETHOIST_NODE_FILE=" + n.path}
	n.cmd.Stdout, n.cmd.Stderr = logs, logs
	if err := n.cmd.Start(); err != nil {
		return err
	}
	w.started(n.cmd)
	n.up.Store(true)
	return nil
}

// recordLog records the lines that a node has logged, for a case that could not run.
func (w *world) recordLog(n *node) {
	data, _ := os.ReadFile(filepath.Join(w.dir, n.name+".log"))
	for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		w.record.add("%s: %s", n.name, line)
	}
}

// limitMemory kills a node's process when it exceeds its memory, as the platform does, and starts it again after a
// short delay, until stop is closed.
func (w *world) limitMemory(n *node, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		mb := residentMB(n.cmd.Process.Pid)
		n.peakMB = max(n.peakMB, mb)
		if mb <= memoryMB {
			continue
		}
		n.ends++
		n.up.Store(false)
		w.record.add("%s has %d MB of %d and is killed", n.name, mb, memoryMB)
		_ = n.cmd.Process.Kill()
		_ = n.cmd.Wait()
		time.Sleep(500 * time.Millisecond)
		if err := w.startNode(n, false); err != nil {
			w.record.add("%s does not start: %v", n.name, err)
			return
		}
	}
}

// residentMB returns the resident memory of a process, in MB.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}

// awaitReady waits until a node says that it is ready.
func (n *node) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if resp, err := client.Get("http://" + n.ready + "/readiness"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready", n.name)
}

// engineProcess is one engine process and its entry in the store.
type engineProcess struct {
	spec          engineSpec
	service, zone string
	cmd           *exec.Cmd
	stdin         io.WriteCloser

	mu      sync.Mutex
	stage   string
	state   string
	gone    bool
	runs    []string
	open    map[string]bool
	ended   map[string]bool
	stopped chan struct{}
}

// entry returns the engine's entry in the list of servers.
func (e *engineProcess) entry(sequence int) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := map[string]any{"Service": e.service, "Address": e.spec.Address, "Zone": e.zone, "Version": "v1", "Slots": e.spec.Slots,
		"State": e.state, "ColdRemainingMs": 0, "Sequence": sequence}
	if e.stage != "" {
		m["Stage"] = e.stage
		m["Models"] = []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}}
	}
	return m
}

// startEngine starts an engine process on an address of its own and registers it in the store.
func (w *world) startEngine(service, zone string, spec engineSpec) (*engineProcess, error) {
	w.mu.Lock()
	w.nextIP++
	ip := loopback(1, w.nextIP)
	w.mu.Unlock()
	spec.Address = freeAddresses(ip, 1)[0]
	arg, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e := &engineProcess{spec: spec, service: service, zone: zone, stage: spec.Stage, state: "ready",
		open: make(map[string]bool), ended: make(map[string]bool), stopped: make(chan struct{})}
	e.cmd = exec.Command(self, "engine", string(arg))
	e.cmd.Stderr = os.Stderr
	if e.stdin, err = e.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := e.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	w.started(e.cmd)
	lines := bufio.NewScanner(out)
	if !lines.Scan() || lines.Text() != "ready" {
		return nil, fmt.Errorf("engine %s did not start", spec.ID)
	}
	go w.follow(e, lines)
	w.mu.Lock()
	w.engines[spec.ID] = e
	w.mu.Unlock()
	go w.beat(e)
	return e, nil
}

// follow notes what an engine says that it does.
func (w *world) follow(e *engineProcess, lines *bufio.Scanner) {
	defer close(e.stopped)
	for lines.Scan() {
		w.record.add("engine %s: %s", e.spec.ID, lines.Text())
		f := strings.Fields(lines.Text())
		e.mu.Lock()
		switch f[0] {
		case "run":
			e.runs = append(e.runs, f[1])
			e.open[f[1]] = f[2] == "open"
		case "end":
			e.ended[f[1]] = true
		case "stage":
			e.stage = f[1]
		}
		e.mu.Unlock()
		if f[0] == "stage" {
			w.writeEntry(e)
		}
	}
}

// writeEntry writes an engine's entry.
func (w *world) writeEntry(e *engineProcess) {
	w.mu.Lock()
	w.beats++
	n := w.beats
	w.mu.Unlock()
	w.store.put("servers", e.spec.ID, e.entry(n))
}

// beat writes an engine's entry every 1.2 s while its process runs. The entry is removed after three such
// intervals of silence.
func (w *world) beat(e *engineProcess) {
	for {
		w.writeEntry(e)
		select {
		case <-e.stopped:
			time.Sleep(3 * 1200 * time.Millisecond)
			w.store.remove("servers", e.spec.ID)
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// drain makes an engine report that it leaves.
func (w *world) drain(e *engineProcess) {
	_, _ = io.WriteString(e.stdin, "drain\n")
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	w.writeEntry(e)
	w.record.add("engine %s reports draining", e.spec.ID)
}

// garble makes all engines begin or stop to garble answers, as far as their specs say so.
func (w *world) garble(on bool) {
	word := map[bool]string{true: "on", false: "off"}[on]
	w.record.add("garble %s", word)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		// An engine that is gone takes nothing.
		_, _ = io.WriteString(e.stdin, "garble "+word+"\n")
	}
}

// garbleAtTimes makes the engines garble for a time, with pauses, while traffic lasts.
func (w *world) garbleAtTimes(length, on, off time.Duration) {
	for began := time.Now(); time.Since(began)+on < length; time.Sleep(off) {
		w.garble(true)
		time.Sleep(on)
		w.garble(false)
	}
}

// kill ends an engine's process at once.
func (w *world) kill(e *engineProcess) {
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	<-e.stopped
	w.record.add("engine %s is gone", e.spec.ID)
}

// runs returns how often each request has run.
func (w *world) runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	ran := make(map[string]int)
	for _, e := range w.engines {
		e.mu.Lock()
		for _, id := range e.runs {
			ran[id]++
		}
		e.mu.Unlock()
	}
	return ran
}
