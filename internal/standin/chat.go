package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"garnethoist.org/garnethoist/internal/target"
)

// defaultMaxTokens is the length of an answer in tokens if the request does not limit it.
const defaultMaxTokens = 16

// bytesPerToken is the number of prompt bytes that count as one token.
const bytesPerToken = 4

// finishedStreamTTL is how long a finished stream can still be resumed.
const finishedStreamTTL = 10 * time.Second

// chatRequest holds the fields of a chat completion request that the stand-in reads. MaxNew takes
// precedence over MaxTokens.
type chatRequest struct {
	Model     string             `json:"model"`
	Messages  []chatMessage      `json:"messages"`
	Stream    bool               `json:"stream"`
	MaxTokens int                `json:"max_tokens"`
	MaxNew    int                `json:"max_completion_tokens"`
	Continue  bool               `json:"continue_final_message"`
	KV        *target.KVTransfer `json:"kv_transfer_params"`
}

// chatMessage is one message of the prompt. Content is a string or a list of content parts.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// prompt returns the text that determines the answer, and the number of tokens that a final message
// to be continued already holds.
func (c *chatRequest) prompt() (text string, present int) {
	messages := c.Messages
	if c.Continue && len(messages) > 0 {
		var partial string
		// A final message that is not a string counts as having no tokens.
		_ = json.Unmarshal(messages[len(messages)-1].Content, &partial)
		present = len(strings.Fields(partial))
		messages = messages[:len(messages)-1]
	}
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.Write(m.Content)
	}
	return b.String(), present
}

// maxTokens returns the limit of the answer's length in tokens.
func (c *chatRequest) maxTokens() int {
	switch {
	case c.MaxNew > 0:
		return c.MaxNew
	case c.MaxTokens > 0:
		return c.MaxTokens
	}
	return defaultMaxTokens
}

// serveChat serves a chat completion: the answer as one response or as a stream, the rest of a
// stream, or the prefill of a prompt for another engine to decode.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(target.HeaderLastEventID); id != "" {
		e.resumeStream(w, r, id)
		return
	}
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if e.refuseNew(w) {
		return
	}
	if req.KV != nil && req.KV.DoRemotePrefill {
		if err := fetchKV(req.KV); err != nil {
			writeError(w, http.StatusBadGateway, target.CodeTransferFailed, err.Error())
			return
		}
	}
	st := e.startStream(&req)
	if req.KV != nil && req.KV.DoRemoteDecode {
		e.prefillOnly(w, r, st)
		return
	}
	if req.Stream {
		e.streamFrom(w, r, st, 0)
		return
	}
	e.answerComplete(w, r, st)
}

// refuseNew refuses new work while the engine changes its role or is leaving, and reports whether
// it did.
func (e *Engine) refuseNew(w http.ResponseWriter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case time.Now().Before(e.changeUntil):
		writeError(w, http.StatusServiceUnavailable, target.CodeChanging, "the engine is changing")
		return true
	case e.status.Leaving:
		writeError(w, http.StatusServiceUnavailable, target.CodeLeaving, "the engine is leaving")
		return true
	}
	return false
}

// startStream registers a stream. Its prefill is due after the prefills that are already queued; a
// stream whose KV cache another engine computed needs none.
func (e *Engine) startStream(req *chatRequest) *stream {
	text, present := req.prompt()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastStream++
	tokens := len(text)/bytesPerToken + 1
	start := now
	if req.KV == nil || !req.KV.DoRemotePrefill {
		if e.prefillBusyUntil.After(start) {
			start = e.prefillBusyUntil
		}
		start = start.Add(time.Duration(tokens) * e.cfg.PrefillPerToken)
		e.prefillBusyUntil = start
		e.status.PrefillTokens += uint64(tokens)
	}
	st := &stream{
		id: fmt.Sprintf("%x-%d", e.boot, e.lastStream), prompt: PromptHash(text), tokenOffset: present,
		maxTokens: req.maxTokens(), start: start, interval: e.cfg.TokenInterval,
		ended: make(chan struct{}), lastUsed: now, readers: 1,
	}
	e.streams[st.id] = st
	return st
}

// resumeStream continues a stream after the event with the given id, which has the form
// STREAM:NUMBER.
func (e *Engine) resumeStream(w http.ResponseWriter, r *http.Request, eventID string) {
	id, offset, ok := strings.Cut(eventID, ":")
	n, err := strconv.Atoi(offset)
	e.mu.Lock()
	st := e.streams[id]
	if st != nil {
		st.readers++
	}
	e.mu.Unlock()
	if !ok || err != nil || st == nil {
		writeError(w, http.StatusNotFound, target.CodeUnknownStream, "no such stream")
		return
	}
	e.streamFrom(w, r, st, n)
}

// prefillOnly computes the KV cache of a prompt and responds with a reference by which another
// engine can fetch it.
func (e *Engine) prefillOnly(w http.ResponseWriter, r *http.Request, st *stream) {
	defer e.releaseReader(st, true)
	if !st.wait(r, 0) {
		return
	}
	e.mu.Lock()
	e.kvBlocks[st.prompt] = !e.dropKV
	e.mu.Unlock()
	host, port := hostPort(r)
	writeJSON(w, http.StatusOK, map[string]any{
		"id": "chatcmpl-" + st.id, "object": "chat.completion", "choices": []any{},
		"kv_transfer_params": target.KVTransfer{
			DoRemotePrefill: true, RemoteEngineID: e.cfg.Name,
			RemoteBlockIDs: []uint64{st.prompt}, RemoteHost: host, RemotePort: port,
		},
	})
}

// fetchKV fetches each KV block from the engine that holds it.
func fetchKV(kv *target.KVTransfer) error {
	for _, block := range kv.RemoteBlockIDs {
		url := fmt.Sprintf("http://%s:%d/kv/%d", kv.RemoteHost, kv.RemotePort, block)
		resp, err := http.Get(url)
		if err != nil {
			return err
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("block %d: status %d", block, resp.StatusCode)
		}
	}
	return nil
}

// streamFrom writes the events of a stream from number after+1 on, each when it is due.
func (e *Engine) streamFrom(w http.ResponseWriter, r *http.Request, st *stream, after int) {
	finished := false
	defer func() { e.releaseReader(st, finished) }()
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	var buf []byte
	for i := after + 1; i <= st.maxTokens+1; i++ {
		if st.interval > 0 || i == after+1 {
			if !st.wait(r, i) {
				panic(http.ErrAbortHandler)
			}
		}
		buf = st.appendEvent(buf[:0], i)
		if _, err := w.Write(buf); err != nil {
			return
		}
		if err := flusher.Flush(); err != nil {
			return
		}
	}
	e.countDecoded(st.maxTokens)
	finished = true
	// The client has the complete answer even if this last write fails.
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

// appendEvent appends event i: a token, or the finish reason after the last token.
func (s *stream) appendEvent(buf []byte, i int) []byte {
	if i > s.maxTokens {
		return fmt.Appendf(buf, "id: %s:%d\ndata: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"created\":%d,\"model\":\"standin\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n",
			s.id, i, s.id, s.start.Unix())
	}
	return fmt.Appendf(buf, "id: %s:%d\ndata: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"created\":%d,\"model\":\"standin\",\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"%s\"},\"finish_reason\":null}]}\n\n",
		s.id, i, s.id, s.start.Unix(), Token(s.prompt, s.tokenOffset+i))
}

// wait sleeps until event i is due. It returns false if the stream was ended or its client has
// disconnected.
func (s *stream) wait(r *http.Request, i int) bool {
	timer := time.NewTimer(time.Until(s.start.Add(time.Duration(i) * s.interval)))
	defer timer.Stop()
	select {
	case <-s.ended:
		return false
	case <-r.Context().Done():
		return false
	case <-timer.C:
	}
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

// countDecoded adds tokens to the decoded tokens in the status.
func (e *Engine) countDecoded(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.DecodeTokens += uint64(tokens)
}

// releaseReader records that one reader has left the stream. It adjusts lastUsed of a finished
// stream so that expireStreams drops the stream after finishedStreamTTL.
func (e *Engine) releaseReader(st *stream, finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st.readers--
	st.lastUsed = time.Now()
	if finished {
		st.finished = true
		st.lastUsed = st.lastUsed.Add(finishedStreamTTL - brokenStreamTTL)
	}
}

// answerComplete sends the answer as one response, when its last token is due.
func (e *Engine) answerComplete(w http.ResponseWriter, r *http.Request, st *stream) {
	finished := false
	defer func() { e.releaseReader(st, finished) }()
	if !st.wait(r, st.maxTokens) {
		e.dropStream(st)
		panic(http.ErrAbortHandler)
	}
	finished = true
	e.countDecoded(st.maxTokens)
	text := ""
	for i := 1; i <= st.maxTokens; i++ {
		text += Token(st.prompt, st.tokenOffset+i)
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"id": "chatcmpl-" + st.id, "object": "chat.completion", "created": st.start.Unix(),
		"model": "standin",
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]any{"role": "assistant", "content": text},
		}},
		"usage": map[string]any{"prompt_tokens": 1, "completion_tokens": st.maxTokens,
			"total_tokens": st.maxTokens + 1},
	})
}

// dropStream drops a stream whose client disconnected before the complete answer, and counts it as
// cancelled.
func (e *Engine) dropStream(st *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.streams[st.id]; ok {
		e.cancelled++
		delete(e.streams, st.id)
	}
}
