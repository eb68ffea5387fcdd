package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// streamEvents is the number of events of a complete stream.
	streamEvents = 10
	// switchTime is how long an engine takes to change its stage.
	switchTime = 500 * time.Millisecond
	// healthPath is the path of the health checks of all targets.
	healthPath = "/health"
)

// targetServer is a target as the users' pages describe it: a model engine, or a target of a plain service if
// it has no stage.
type targetServer struct {
	id           string
	born         int64
	gap          time.Duration
	work         time.Duration
	endsWithConn bool

	mu       sync.Mutex
	stage    string
	busy     bool
	sequence int
}

// runTarget runs one target until it is killed. It prints a line for each request that it receives.
func runTarget(args []string) int {
	flags := flag.NewFlagSet("target", flag.ContinueOnError)
	s := &targetServer{}
	address := flags.String("address", "", "the address to listen on")
	flags.StringVar(&s.id, "id", "", "the id of the target")
	flags.Int64Var(&s.born, "born", 0, "the Unix millisecond of the start")
	flags.StringVar(&s.stage, "stage", "", "the stage of a model engine")
	flags.DurationVar(&s.gap, "gap", 0, "the pause after each event of a stream")
	flags.DurationVar(&s.work, "work", 0, "the time that a request to a plain service takes")
	flags.BoolVar(&s.endsWithConn, "ends-with-conn", false, "answers end with their connection")
	if flags.Parse(args) != nil {
		return exitNotRun
	}
	l, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, "target:", err)
		return exitNotRun
	}
	s.printf("listens, born %d", s.born)
	for {
		c, err := l.Accept()
		if err != nil {
			return exitNotRun
		}
		go s.serve(c)
	}
}

// stampLayout is the layout of times in records.
const stampLayout = "2006-01-02T15:04:05.000"

// stamp returns the time for a record.
func stamp() string { return time.Now().Format(stampLayout) }

// printf prints a line of the record.
func (s *targetServer) printf(format string, args ...any) {
	fmt.Println(stamp(), s.id, fmt.Sprintf(format, args...))
}

// serve answers the requests on a connection, one after the other.
func (s *targetServer) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if stays := s.answer(c, r, string(body)); !stays {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (s *targetServer) answer(c net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	stage := s.stage
	s.mu.Unlock()
	prefillOnly := r.Header.Get("Serving-Stage") == "prefill"
	switch want := r.Header.Get("Expected-Instance"); {
	case want != "" && want != s.id:
		return s.write(c, http.StatusMisdirectedRequest, "Not-Executed: 1\r\n"+echo(id), "")
	case r.URL.Path == "/report":
		return s.write(c, http.StatusOK, "Content-Type: application/json\r\n", s.report())
	case r.URL.Path == healthPath:
		return s.write(c, http.StatusOK, "Instance-Id: "+s.id+"\r\nContent-Type: application/json\r\n", `{"born":`+strconv.FormatInt(s.born, 10)+`}`)
	case r.URL.Path == "/order":
		return s.write(c, s.order(body), "", "")
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		return s.write(c, http.StatusOK, "", "")
	case id == "":
		return s.write(c, http.StatusBadRequest, "Not-Executed: 1\r\n", "")
	case stage != "" && prefillOnly != (stage == "prefill"):
		return s.write(c, http.StatusMisdirectedRequest, "Not-Executed: 1\r\n"+echo(id), "")
	case prefillOnly:
		s.printf("prefills %s", id)
		return s.write(c, http.StatusOK, "Content-Type: application/json\r\n"+echo(id), `{"Handle":"`+strconv.FormatInt(s.born, 36)+"-"+id+`","Tokens":141,"Version":1}`)
	}
	s.printf("runs %s: %s %s after %q", id, r.Method, r.RequestURI, r.Header.Get("Last-Event-Id"))
	if stage != "" {
		return s.stream(c, r, id)
	}
	time.Sleep(s.work)
	if s.endsWithConn {
		return s.writeParts(c, id)
	}
	return s.write(c, http.StatusOK, seal(s.id, id)+echo(id), plainBody(s.id, id))
}

// echo returns the header line that names the request.
func echo(id string) string {
	if id == "" {
		return ""
	}
	return "Request-Id: " + id + "\r\n"
}

// seal returns the header line with the signature of a target.
func seal(target, id string) string { return "Response-Seal: " + target + "." + id + "\r\n" }

// plainBody returns the answer of a target of a plain service.
func plainBody(target, id string) string { return "answer of " + target + " to " + id }

// streamEvent returns the n-th event of a stream, counted from 1.
func streamEvent(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
}

// streamBody returns a complete stream.
func streamBody(id string) string {
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		b.WriteString(streamEvent(id, n))
	}
	return b.String()
}

// write sends an answer of a stated length.
func (s *targetServer) write(c net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
	return err == nil
}

// answerParts is the number of parts in which an answer is sent that ends with its connection.
const answerParts = 3

// writeParts sends an answer that ends with its connection, with a pause after each part.
func (s *targetServer) writeParts(c net.Conn, id string) bool {
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s\r\n", seal(s.id, id), echo(id)); err != nil {
		return false
	}
	body := plainBody(s.id, id)
	for n := range answerParts {
		if _, err := io.WriteString(c, body[n*len(body)/answerParts:(n+1)*len(body)/answerParts]); err != nil {
			return false
		}
		s.printf("sent part %d of %s", n+1, id)
		if n+1 < answerParts {
			time.Sleep(s.gap)
		}
	}
	return false
}

// stream sends the events after the one that the request names.
func (s *targetServer) stream(c net.Conn, r *http.Request, id string) bool {
	encoding := "Transfer-Encoding: chunked\r\n"
	if s.endsWithConn {
		encoding = ""
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s%sContent-Type: text/event-stream\r\n\r\n", seal(s.id, id), echo(id), encoding); err != nil {
		return false
	}
	// Without the header the stream begins with the first event.
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= streamEvents; n++ {
		piece := streamEvent(id, n)
		if !s.endsWithConn {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(c, piece); err != nil {
			s.printf("stops %s after event %d", id, n-1)
			return false
		}
		s.printf("sent event %d of %s", n, id)
		if n < streamEvents {
			time.Sleep(s.gap)
		}
	}
	if s.endsWithConn {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// reportBody is what an engine says of itself.
type reportBody struct {
	Stage           string
	Models          []map[string]any
	Busy            bool
	Sequence        int
	WaitingRequests int
	RunningRequests int
	KvCacheUsed     int
	KvCacheTotal    int
	Handles         int
	Born            int64 `json:"born"`
}

// report returns the engine's report.
func (s *targetServer) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, err := json.Marshal(reportBody{
		Stage: s.stage, Models: []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}}, Busy: s.busy, Sequence: s.sequence,
		KvCacheTotal: 100000, Born: s.born,
	})
	if err != nil {
		panic("encode report: " + err.Error())
	}
	return string(data)
}

// order takes an order and returns the status of the answer.
func (s *targetServer) order(body string) int {
	var o struct {
		Operation, Stage, Holder string
		Fence                    uint64
		ExpectedRevision         *int
	}
	if json.Unmarshal([]byte(body), &o) != nil || o.Operation != "Stage" || o.Holder == "" || o.Fence == 0 {
		return http.StatusBadRequest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.busy, o.ExpectedRevision != nil && *o.ExpectedRevision != s.sequence:
		return http.StatusConflict
	case o.Stage == s.stage:
		return http.StatusOK
	}
	s.sequence++
	s.busy = true
	s.printf("takes order %d of %s (fence %d): %s", s.sequence, o.Holder, o.Fence, o.Stage)
	time.AfterFunc(switchTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busy, s.stage = false, o.Stage
	})
	return http.StatusAccepted
}
