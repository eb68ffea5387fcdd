package abuse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// largeChunk is the size of large chunks.
	largeChunk = 64 << 10
	// smallChunks is the number of chunks of one byte in a body of them.
	smallChunks = 512 << 10
	// headLines is the number of distinct lines in a long head: each takes few bytes on the connection.
	headLines = 9000
	// extraBytes is what is sent behind a whole request.
	extraBytes = 8 << 20
)

// Parts of what the callers send.
var (
	largeChunkText = fmt.Sprintf("%x\r\n%s\r\n", largeChunk, strings.Repeat("x", largeChunk))
	filler         = bytes.Repeat([]byte("x"), largeChunk)
	smallChunkText = bytes.Repeat([]byte("1\r\nx\r\n"), 8<<10)
)

// behaviour sends what one caller sends on its connection. It returns once all is sent, or with an error if
// the VM closed the connection or has answered with a refusal.
type behaviour func(c net.Conn, id string) error

// kind is a kind of callers, and the number of them in a crowd of that kind alone.
type kind struct {
	name    string
	callers int
	send    behaviour
}

// Sizes of crowds of callers that send much each, or little.
const (
	muchEach   = 80
	littleEach = 240
	behindEach = 640
	unreadEach = 1200
)

// unreadAnswers is the kind of callers that don't read what they asked for.
const unreadAnswers = "answers_not_read"

// kinds are the kinds of callers.
var kinds = []kind{
	{"large_chunks_one_short_of_the_end", muchEach, func(c net.Conn, id string) error {
		return sendChunks(c, id, bodyLimit/largeChunk-1)
	}},
	{"whole_chunked_bodies", muchEach, func(c net.Conn, id string) error {
		if err := sendChunks(c, id, bodyLimit/largeChunk); err != nil {
			return err
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err
	}},
	{"chunks_of_one_byte_not_ended", littleEach, func(c net.Conn, id string) error {
		if _, err := io.WriteString(c, head(id, "Transfer-Encoding: chunked\r\n")); err != nil {
			return err
		}
		return repeat(c, smallChunkText, smallChunks*6)
	}},
	{"stated_length_one_byte_short", muchEach, func(c net.Conn, id string) error {
		if _, err := io.WriteString(c, head(id, fmt.Sprintf("Content-Length: %d\r\n", bodyLimit))); err != nil {
			return err
		}
		return repeat(c, filler, bodyLimit-1)
	}},
	{"stated_length_one_byte", littleEach, func(c net.Conn, id string) error {
		_, err := io.WriteString(c, head(id, fmt.Sprintf("Content-Length: %d\r\n", bodyLimit))+"x")
		return err
	}},
	{"bytes_behind_whole_requests", behindEach, func(c net.Conn, id string) error {
		if _, err := io.WriteString(c, streamHead(id)+"Content-Length: 1\r\n\r\nx"); err != nil {
			return err
		}
		return repeat(c, filler, extraBytes)
	}},
	{"heads_with_many_lines_not_ended", littleEach, func(c net.Conn, id string) error {
		var b strings.Builder
		b.WriteString(strings.TrimSuffix(head(id, ""), "\r\n"))
		for i := range headLines {
			fmt.Fprintf(&b, "%s:\r\n", lineName(i))
		}
		_, err := io.WriteString(c, b.String())
		return err
	}},
	{unreadAnswers, unreadEach, func(c net.Conn, id string) error {
		if tcp, ok := c.(*net.TCPConn); ok {
			if err := tcp.SetReadBuffer(4 << 10); err != nil {
				return err
			}
		}
		if _, err := io.WriteString(c, strings.Replace(head(id, "Content-Length: 1\r\n"), "/safe/x", "/safe"+platformtest.PaddedPath, 1)+"x"); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1))
		return err
	}},
	{"chunk_extensions_and_trailers", muchEach, func(c net.Conn, id string) error {
		if _, err := io.WriteString(c, head(id, "Transfer-Encoding: chunked\r\n")+"1;"); err != nil {
			return err
		}
		return repeat(c, filler, bodyLimit)
	}},
}

// lineName returns a distinct header name of three letters for each number below 26 to the power of three.
func lineName(i int) string {
	return string([]byte{byte('a' + i/676%26), byte('a' + i/26%26), byte('a' + i%26)})
}

// head returns the head of a plain request with the given lines.
func head(id, lines string) string { return platformtest.PlainHead(id, routeTimeout, lines) }

// streamHead returns the head of a request for a stream, without its end.
func streamHead(id string) string { return platformtest.StreamHead(id, routeTimeout) }

// sendChunks sends the head of a request and n large chunks.
func sendChunks(c net.Conn, id string, n int) error {
	if _, err := io.WriteString(c, head(id, "Transfer-Encoding: chunked\r\n")); err != nil {
		return err
	}
	for range n {
		if _, err := io.WriteString(c, largeChunkText); err != nil {
			return err
		}
	}
	return nil
}

// repeat sends n bytes, which repeat text.
func repeat(c net.Conn, text []byte, n int) error {
	for n > 0 {
		sent, err := c.Write(text[:min(n, len(text))])
		if err != nil {
			return err
		}
		n -= sent
	}
	return nil
}

// crowd is a number of callers that send at once, hold their connections until all have sent what they
// send, or were refused, and then come back.
type crowd struct {
	address string
	callers int
	rounds  int
	kinds   []kind
	// answers holds what the callers got.
	answers answers
}

// run plays the crowd. whileHeld is called in each round while all connections that the VM has not closed
// are held.
func (c *crowd) run(whileHeld func(round int)) {
	for round := range c.rounds {
		var sent, ended sync.WaitGroup
		leave := make(chan struct{})
		for i := range c.callers {
			k := c.kinds[i%len(c.kinds)]
			sent.Add(1)
			ended.Go(func() {
				holdOne(c.address, fmt.Sprintf("crowd-%d-%d", round, i), k, &c.answers, sent.Done, leave)
			})
		}
		sent.Wait()
		whileHeld(round)
		close(leave)
		ended.Wait()
	}
}

// holdOne plays one caller of a crowd: it calls sent once it has sent what it sends or failed to, and keeps
// its connection until leave is closed. What the VM sends is read and dropped, and ends the sending.
func holdOne(address, id string, k kind, answers *answers, sent func(), leave <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", address, patience)
	if err != nil {
		sent()
		return
	}
	// A deadline cannot fail on an open connection.
	_ = conn.SetDeadline(time.Now().Add(routeTimeout))
	var reading sync.WaitGroup
	defer reading.Wait()
	defer conn.Close()
	if k.name != unreadAnswers {
		reading.Go(func() { readAnswer(conn, id, answers) })
	}
	// A failure is the VM's refusal, which is allowed.
	_ = k.send(conn, id)
	sent()
	<-leave
}

// readAnswer reads what the VM sends and records the status of a whole answer. Any answer ends what the caller
// sends.
func readAnswer(conn net.Conn, id string, answers *answers) {
	br := bufio.NewReader(conn)
	if _, err := br.Peek(1); err != nil {
		return
	}
	// It fails only once the connection is closed.
	_ = conn.SetWriteDeadline(time.Now())
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err == nil {
		answers.add(id, resp)
	}
}

// answers holds the answers that a crowd got, by request id. It is safe for concurrent use.
type answers struct {
	mu   sync.Mutex
	byID map[string]*http.Response
}

// add records an answer.
func (a *answers) add(id string, r *http.Response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID == nil {
		a.byID = make(map[string]*http.Response)
	}
	a.byID[id] = r
}
