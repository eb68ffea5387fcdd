package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// engineSpec says what an engine process does. It is passed as JSON on the command line.
type engineSpec struct {
	ID      string
	Address string
	// Stage is "prefill" or "decode", or empty for a plain service.
	Stage string
	Slots int
	// Pieces is the number of events of a stream, and GapMS the time between two of them.
	Pieces int
	GapMS  int
	// WorkMS and BodyBytes are the time and the size of an answer of a plain service.
	WorkMS    int
	BodyBytes int
	// OpenEvery makes every OpenEvery-th answer end with its channel; 0 means none.
	OpenEvery int
	// GarbageEvery makes every GarbageEvery-th answer bytes that are no response, of GarbageMB at most and at
	// GarbageMBPerS; 0 means none.
	GarbageEvery  int
	GarbageMB     int
	GarbageMBPerS int
	// ExtraEvery makes the engine send additional bytes after every ExtraEvery-th answer, late: when the next
	// request on the channel is in. They are an answer to no request, as they have no Request-Id. 0 means none.
	ExtraEvery int
	// SwitchMS is how long a change of the stage takes.
	SwitchMS int
}

// engine is a stand-in for an engine: a process of its own, which can be killed. It prints what it does
// on its standard output: "run ID FRAMING", "end ID", "left ID", "extra ID", "order STAGE HOLDER FENCE" and
// "stage NAME".
type engine struct {
	spec engineSpec

	mu       sync.Mutex
	stage    string
	busy     bool
	sequence int
	running  int
	answers  int
	complete int
	handles  int
	draining bool
	// garbling is set while OpenEvery, GarbageEvery and ExtraEvery apply.
	garbling bool
}

func runEngine(arg string) error {
	e := &engine{}
	if err := json.Unmarshal([]byte(arg), &e.spec); err != nil {
		return err
	}
	e.stage = e.spec.Stage
	l, err := net.Listen("tcp", e.spec.Address)
	if err != nil {
		return err
	}
	fmt.Println("ready")
	go func() {
		// The engine lives as long as its parent holds its standard input open.
		in := bufio.NewScanner(os.Stdin)
		for in.Scan() {
			e.mu.Lock()
			switch in.Text() {
			case "drain":
				e.draining = true
			case "garble on":
				e.garbling = true
			case "garble off":
				e.garbling = false
			}
			e.mu.Unlock()
		}
		os.Exit(0)
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go e.serve(c)
	}
}

func (e *engine) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for extra := false; ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if extra {
			fmt.Println("extra", r.Header.Get("Request-Id"))
			if _, err := io.WriteString(c, extraBytes); err != nil {
				return
			}
		}
		if !e.answer(c, r, body) {
			return
		}
		e.mu.Lock()
		e.complete++
		extra = e.garbling && e.spec.ExtraEvery > 0 && e.complete%e.spec.ExtraEvery == 0
		e.mu.Unlock()
	}
}

// extraBytes is the answer with which an engine sheds, as the bench's examples of messages show it.
const extraBytes = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

func respond(c net.Conn, status int, headers, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
	return err == nil
}

// answer answers one request and reports whether the channel stays open.
func (e *engine) answer(c net.Conn, r *http.Request, body []byte) bool {
	if want := r.Header.Get("Expected-Instance"); want != "" && want != e.spec.ID {
		return respond(c, http.StatusMisdirectedRequest, "Instance-Id: "+e.spec.ID+"\r\n", "")
	}
	switch {
	case r.URL.Path == "/health":
		e.mu.Lock()
		status := http.StatusOK
		if e.draining {
			status = http.StatusServiceUnavailable
		}
		e.mu.Unlock()
		return respond(c, status, "Instance-Id: "+e.spec.ID+"\r\n", "")
	case r.URL.Path == "/report":
		e.mu.Lock()
		report, _ := json.Marshal(map[string]any{"Stage": e.stage, "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}},
			"Busy": e.busy, "Sequence": e.sequence, "WaitingRequests": 0, "RunningRequests": e.running, "KvCacheUsed": 0, "KvCacheTotal": 305000, "Handles": 0})
		e.mu.Unlock()
		return respond(c, http.StatusOK, "Content-Type: application/json\r\n", string(report))
	case r.URL.Path == "/order":
		return e.order(c, body)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		return respond(c, http.StatusOK, "", "")
	}
	id := r.Header.Get("Request-Id")
	echo := "Request-Id: " + id + "\r\n"
	e.mu.Lock()
	prefill := r.Header.Get("Serving-Stage") == "prefill"
	switch {
	case id == "":
		e.mu.Unlock()
		return respond(c, http.StatusBadRequest, "Not-Executed: 1\r\n", "")
	case prefill != (e.stage == "prefill"):
		e.mu.Unlock()
		return respond(c, http.StatusMisdirectedRequest, echo+"Instance-Id: "+e.spec.ID+"\r\n", "")
	case e.busy || e.running >= e.spec.Slots:
		e.mu.Unlock()
		return respond(c, http.StatusServiceUnavailable, echo+"Not-Executed: 1\r\n", "")
	}
	e.running++
	e.handles++
	handle := e.handles
	if !prefill {
		e.answers++
	}
	answer, garbling := e.answers, e.garbling
	open := !prefill && e.garbling && e.spec.OpenEvery > 0 && e.answers%e.spec.OpenEvery == 0
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if prefill {
		time.Sleep(5 * time.Millisecond)
		return respond(c, http.StatusOK, echo+"Content-Type: application/json\r\n", fmt.Sprintf(`{"Handle":"%s-%d","Tokens":220,"Version":1}`, e.spec.ID, handle))
	}
	fmt.Println("run", id, map[bool]string{true: "open", false: "framed"}[open])
	if garbling && e.spec.GarbageEvery > 0 && answer%e.spec.GarbageEvery == 0 {
		return e.garbage(c, id)
	}
	echo += "Response-Seal: " + e.spec.ID + "." + id + "\r\n"
	if e.spec.Stage == "" {
		return e.plain(c, id, echo, open)
	}
	return e.stream(c, id, echo, open)
}

// garbage answers with bytes that are no response.
func (e *engine) garbage(c net.Conn, id string) bool {
	piece := bytes.Repeat([]byte{0xa5}, 64<<10)
	began := time.Now()
	sent := 0
	for sent < e.spec.GarbageMB<<20 {
		n, err := c.Write(piece)
		sent += n
		if err != nil {
			break
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / float64(e.spec.GarbageMBPerS<<20) * float64(time.Second)))))
	}
	fmt.Println("garbage", id, sent>>20, "MB")
	return false
}

// plain answers a request to a plain service.
func (e *engine) plain(c net.Conn, id, echo string, open bool) bool {
	time.Sleep(time.Duration(e.spec.WorkMS) * time.Millisecond)
	body := strings.Repeat("x", e.spec.BodyBytes)
	if !open {
		ok := respond(c, http.StatusOK, echo, body)
		fmt.Println("end", id)
		return ok
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", echo, body)
	fmt.Println("end", id)
	return false
}

// stream answers with a stream of events. An open stream has no length and ends with its channel.
func (e *engine) stream(c net.Conn, id, echo string, open bool) bool {
	framing := "Transfer-Encoding: chunked\r\n"
	if open {
		framing = ""
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n%s\r\n", echo, framing); err != nil {
		return false
	}
	for n := 1; n <= e.spec.Pieces; n++ {
		piece := fmt.Sprintf("id: %d\ndata: piece %d of %d for %s\n\n", n, n, e.spec.Pieces, id)
		if !open {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(c, piece); err != nil {
			fmt.Println("left", id)
			return false
		}
		time.Sleep(time.Duration(e.spec.GapMS) * time.Millisecond)
	}
	fmt.Println("end", id)
	if open {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// order carries out an order to change the stage.
func (e *engine) order(c net.Conn, body []byte) bool {
	var o struct {
		Operation, Stage, Holder string
		Fence                    uint64
		ExpectedRevision         *int
	}
	if err := json.Unmarshal(body, &o); err != nil || o.Operation != "Stage" || o.Holder == "" || o.Fence == 0 {
		return respond(c, http.StatusBadRequest, "", "")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy, o.ExpectedRevision != nil && *o.ExpectedRevision != e.sequence:
		return respond(c, http.StatusConflict, "", "")
	case o.Stage == e.stage:
		return respond(c, http.StatusOK, "", "")
	}
	e.busy = true
	e.sequence++
	fmt.Println("order", o.Stage, o.Holder, o.Fence)
	go func() {
		time.Sleep(time.Duration(e.spec.SwitchMS) * time.Millisecond)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.stage, e.busy = o.Stage, false
		fmt.Println("stage", o.Stage)
	}()
	return respond(c, http.StatusAccepted, "", "")
}
