package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is a client's request.
type call struct {
	id     string
	method string
	host   string
	path   string
	header map[string]string
	body   string
	limit  time.Duration
	// patience is how long the client waits for the next bytes of an answer.
	patience time.Duration
}

// result is what a client has seen.
type result struct {
	status int
	seal   string
	body   string
	// whole is set if the answer ended as its framing says.
	whole bool
	err   error
}

// do sends a call on a new channel and reads its answer.
func (c call) do(front string) result {
	nc, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer nc.Close()
	end := time.Now().Add(c.limit)
	_ = nc.SetDeadline(end)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n", c.method, c.path, c.host, c.id, c.limit.Milliseconds())
	for k, v := range c.header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if c.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	b.WriteString(c.body)
	if _, err := io.WriteString(nc, b.String()); err != nil {
		return result{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(&patientReader{nc, c.patience, end}), &http.Request{Method: c.method})
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r := result{status: resp.StatusCode, seal: resp.Header.Get("Response-Seal"), body: string(body), err: err}
	r.whole = err == nil
	if resp.Header.Get("Request-Id") != c.id && resp.StatusCode < 300 {
		r.err = errors.New("the answer names another request")
	}
	return r
}

// events returns the number of complete events in a body.
func events(body string) int { return strings.Count(body, "\n\n") }

// patientReader reads a channel and gives up after a pause.
type patientReader struct {
	net.Conn
	patience time.Duration
	end      time.Time
}

func (p *patientReader) Read(b []byte) (int, error) {
	limit := p.end
	if next := time.Now().Add(p.patience); p.patience > 0 && next.Before(limit) {
		limit = next
	}
	if err := p.SetReadDeadline(limit); err != nil {
		return 0, err
	}
	return p.Conn.Read(b)
}
