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

// defaultMaxTokens is the length of an answer when the request names none.
const defaultMaxTokens = 16

// bytesPerToken turns a prompt's length into its token count.
const bytesPerToken = 4

// finishedKept is how long a finished stream stays resumable.
const finishedKept = 10 * time.Second

type chatRequest struct {
	Model     string             `json:"model"`
	Messages  []chatMessage      `json:"messages"`
	Stream    bool               `json:"stream"`
	MaxTokens int                `json:"max_tokens"`
	MaxNew    int                `json:"max_completion_tokens"`
	Continue  bool               `json:"continue_final_message"`
	KV        *target.KVTransfer `json:"kv_transfer_params"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// prompt returns the text that decides the answer and the number of tokens
// that a continued final message already holds.
func (c *chatRequest) prompt() (text string, have int) {
	messages := c.Messages
	if c.Continue && len(messages) > 0 {
		var partial string
		// A final message that is not text has no tokens of ours.
		_ = json.Unmarshal(messages[len(messages)-1].Content, &partial)
		have = len(strings.Fields(partial))
		messages = messages[:len(messages)-1]
	}
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.Write(m.Content)
	}
	return b.String(), have
}

func (c *chatRequest) maxTokens() int {
	switch {
	case c.MaxNew > 0:
		return c.MaxNew
	case c.MaxTokens > 0:
		return c.MaxTokens
	}
	return defaultMaxTokens
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(target.HeaderLastEventID); id != "" {
		e.resume(w, r, id)
		return
	}
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if e.refuseNew(w) {
		return
	}
	if req.KV != nil && req.KV.DoRemotePrefill {
		if err := fetchKV(req.KV); err != nil {
			refuse(w, http.StatusBadGateway, target.CodeTransferFailed, err.Error())
			return
		}
	}
	st := e.begin(&req)
	if req.KV != nil && req.KV.DoRemoteDecode {
		e.prefillOnly(w, r, st)
		return
	}
	if req.Stream {
		e.streamFrom(w, r, st, 0)
		return
	}
	e.whole(w, r, st)
}

func (e *Engine) refuseNew(w http.ResponseWriter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case time.Now().Before(e.changeUntil):
		refuse(w, http.StatusServiceUnavailable, target.CodeChanging, "the engine is changing")
		return true
	case e.status.Leaving:
		refuse(w, http.StatusServiceUnavailable, target.CodeLeaving, "the engine is leaving")
		return true
	}
	return false
}

// begin registers a stream and books its prefill behind what is queued.
func (e *Engine) begin(req *chatRequest) *stream {
	text, have := req.prompt()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextStream++
	tokens := len(text)/bytesPerToken + 1
	start := now
	if req.KV == nil || !req.KV.DoRemotePrefill {
		if e.prefillFree.After(start) {
			start = e.prefillFree
		}
		start = start.Add(time.Duration(tokens) * e.cfg.PrefillPerToken)
		e.prefillFree = start
		e.status.PrefillTokens += uint64(tokens)
	}
	st := &stream{
		id: fmt.Sprintf("%x-%d", e.boot, e.nextStream), prompt: PromptHash(text), base: have,
		max: req.maxTokens(), start: start, interval: e.cfg.TokenInterval,
		gone: make(chan struct{}), lastUsed: now, readers: 1,
	}
	e.streams[st.id] = st
	return st
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request, eventID string) {
	id, offset, ok := strings.Cut(eventID, ":")
	n, err := strconv.Atoi(offset)
	e.mu.Lock()
	st := e.streams[id]
	if st != nil {
		st.readers++
	}
	e.mu.Unlock()
	if !ok || err != nil || st == nil {
		refuse(w, http.StatusNotFound, target.CodeUnknownStream, "no such stream")
		return
	}
	e.streamFrom(w, r, st, n)
}

func (e *Engine) prefillOnly(w http.ResponseWriter, r *http.Request, st *stream) {
	defer e.release(st, true)
	if !st.wait(r, 0) {
		return
	}
	e.mu.Lock()
	e.kv[st.prompt] = !e.dropKV
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

// streamFrom writes the events after the given one, as they fall due.
func (e *Engine) streamFrom(w http.ResponseWriter, r *http.Request, st *stream, after int) {
	finished := false
	defer func() { e.release(st, finished) }()
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	var buf []byte
	for i := after + 1; i <= st.max+1; i++ {
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
	e.count(st.max)
	finished = true
	// The client has all the answer even if this last write fails.
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

// appendEvent appends event i: a token, or the finish reason after the last.
func (s *stream) appendEvent(buf []byte, i int) []byte {
	if i > s.max {
		return fmt.Appendf(buf, "id: %s:%d\ndata: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"created\":%d,\"model\":\"standin\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n",
			s.id, i, s.id, s.start.Unix())
	}
	return fmt.Appendf(buf, "id: %s:%d\ndata: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"created\":%d,\"model\":\"standin\",\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"%s\"},\"finish_reason\":null}]}\n\n",
		s.id, i, s.id, s.start.Unix(), Token(s.prompt, s.base+i))
}

// wait sleeps until event i is due; false means that the stream or its reader
// has gone.
func (s *stream) wait(r *http.Request, i int) bool {
	timer := time.NewTimer(time.Until(s.start.Add(time.Duration(i) * s.interval)))
	defer timer.Stop()
	select {
	case <-s.gone:
		return false
	case <-r.Context().Done():
		return false
	case <-timer.C:
	}
	select {
	case <-s.gone:
		return false
	default:
		return true
	}
}

func (e *Engine) count(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.DecodeTokens += uint64(tokens)
}

// release marks that one reader has left the stream.
func (e *Engine) release(st *stream, finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st.readers--
	st.lastUsed = time.Now()
	if finished {
		st.finished = true
		st.lastUsed = st.lastUsed.Add(finishedKept - streamGrace)
	}
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, st *stream) {
	finished := false
	defer func() { e.release(st, finished) }()
	if !st.wait(r, st.max) {
		e.abandon(st)
		panic(http.ErrAbortHandler)
	}
	finished = true
	e.count(st.max)
	text := ""
	for i := 1; i <= st.max; i++ {
		text += Token(st.prompt, st.base+i)
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"id": "chatcmpl-" + st.id, "object": "chat.completion", "created": st.start.Unix(), "model": "standin",
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]any{"role": "assistant", "content": text},
		}},
		"usage": map[string]any{"prompt_tokens": 1, "completion_tokens": st.max, "total_tokens": st.max + 1},
	})
}

// abandon drops a whole-answer generation whose client has gone.
func (e *Engine) abandon(st *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.streams[st.id]; ok {
		e.cancelled++
		delete(e.streams, st.id)
	}
}
