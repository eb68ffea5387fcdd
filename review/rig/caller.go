package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"garnethoist.org/garnethoist/platform/platformtest"
)

// callerTimeout is how long a caller waits for the whole answer.
const callerTimeout = 2 * time.Second

// answer is what a caller has received.
type answer struct {
	status int
	seal   string
	body   string
}

// streamOnce asks a VM for a stream on a route and calls disrupt after the second event, with the signature of
// the answer. The error is nil if the answer has ended as a complete one.
func (r *rig) streamOnce(n *node, id, route string, disrupt func(seal string) error) (answer, error) {
	c, err := net.DialTimeout("tcp", string(n.cfg.Listen), time.Second)
	if err != nil {
		return answer{}, err
	}
	defer c.Close()
	r.notef("%s: sent to %s on route %s", id, n.name, route)
	const body = "prompt"
	_, err = fmt.Fprintf(c, "POST /%s/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\nModel-Name: m\r\nToken-Counts: 141,80\r\nPrompt-Prefix: 5c1e07a2:50,91bd3f06:91\r\nContent-Length: %d\r\n\r\n%s",
		route, platformtest.Host, id, callerTimeout.Milliseconds(), len(body), body)
	if err != nil {
		return answer{}, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	got := answer{status: resp.StatusCode, seal: resp.Header.Get("Response-Seal")}
	br := bufio.NewReader(resp.Body)
	for disrupted := false; ; {
		line, err := br.ReadString('\n')
		got.body += line
		if err == io.EOF {
			return got, nil
		}
		if err != nil {
			return got, err
		}
		if !disrupted && strings.Count(got.body, "\n\n") == 2 {
			disrupted = true
			if err := disrupt(got.seal); err != nil {
				return got, err
			}
		}
	}
}

// callOnce sends a request on a route to a VM, on a new connection. The error is nil if the answer has ended as
// a complete one.
func (r *rig) callOnce(n *node, route, id string) (answer, error) {
	c, err := net.DialTimeout("tcp", string(n.cfg.Listen), time.Second)
	if err != nil {
		return answer{}, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(callerTimeout)); err != nil {
		return answer{}, err
	}
	_, err = fmt.Fprintf(c, "POST /%s/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\nContent-Length: %d\r\n\r\n%s", route, platformtest.Host, id, callerTimeout.Milliseconds(), len(id), id)
	if err != nil {
		return answer{}, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	got := answer{status: resp.StatusCode, seal: resp.Header.Get("Response-Seal")}
	body, err := io.ReadAll(resp.Body)
	got.body = string(body)
	return got, err
}
