package relay

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/target"
)

// Chat is a caller's chat completion request. Fields that the relay does not
// know are kept as they came.
type Chat struct {
	body   []byte
	fields map[string]json.RawMessage
	// Stream says whether the caller wants server-sent events.
	Stream bool
	// MaxTokens is the most tokens of the answer; zero when not given.
	MaxTokens int
	// PromptTokens estimates the prompt's length.
	PromptTokens int
	// Prefix is the hash of the prompt's beginning.
	Prefix uint64
	// deterministic requests give the same answer when run again.
	deterministic bool
	// single requests ask for one choice.
	single bool
}

const (
	// bytesPerToken estimates tokens from JSON text.
	bytesPerToken = 4
	// prefixBytes is how much of the messages' JSON makes up the prefix by
	// which an engine's cache is met.
	prefixBytes = 1024
)

// ParseChat checks a request body as far as the relay needs to.
func ParseChat(body []byte) (*Chat, error) {
	c := &Chat{body: body}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "the body is not a JSON object")
	}
	if c.fields == nil {
		return nil, errkind.New(errkind.BadRequest, "the body is not a JSON object")
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(c.fields["messages"], &messages); err != nil || len(messages) == 0 {
		return nil, errkind.New(errkind.BadRequest, "messages must be a list with at least one message")
	}
	if err := c.readOptions(); err != nil {
		return nil, err
	}
	prompt := c.fields["messages"]
	c.PromptTokens = len(prompt)/bytesPerToken + 1
	c.Prefix = xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
	return c, nil
}

func (c *Chat) readOptions() error {
	var maxNew, n int
	var temperature *float64
	var seed *int64
	options := []struct {
		name string
		dst  any
	}{
		{"stream", &c.Stream},
		{"max_tokens", &c.MaxTokens},
		{"max_completion_tokens", &maxNew},
		{"n", &n},
		{"temperature", &temperature},
		{"seed", &seed},
	}
	for _, o := range options {
		raw, ok := c.fields[o.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, o.dst); err != nil {
			return errkind.Wrap(errkind.BadRequest, err, "%s has the wrong type", o.name)
		}
	}
	if maxNew > 0 {
		c.MaxTokens = maxNew
	}
	if c.MaxTokens < 0 || n < 0 {
		return errkind.New(errkind.BadRequest, "max_tokens and n must not be below zero")
	}
	c.single = n <= 1
	c.deterministic = seed != nil || (temperature != nil && *temperature == 0)
	return nil
}

// with returns the body with the named fields set; the others are unharmed.
func (c *Chat) with(set map[string]json.RawMessage) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(c.fields)+len(set))
	for k, v := range c.fields {
		fields[k] = v
	}
	for k, v := range set {
		fields[k] = v
	}
	body, err := json.Marshal(fields)
	return body, errors.Wrap(err, "encode body")
}

// prefillBody asks an engine to prefill only and export the KV cache.
func (c *Chat) prefillBody() ([]byte, error) {
	return c.with(map[string]json.RawMessage{
		"stream":                json.RawMessage("false"),
		"max_tokens":            json.RawMessage("1"),
		"max_completion_tokens": json.RawMessage("1"),
		"kv_transfer_params":    json.RawMessage(`{"do_remote_decode":true,"do_remote_prefill":false}`),
	})
}

// decodeBody asks an engine to import the KV cache and decode.
func (c *Chat) decodeBody(kv target.KVTransfer) ([]byte, error) {
	raw, err := json.Marshal(kv)
	if err != nil {
		return nil, errors.Wrap(err, "encode kv_transfer_params")
	}
	return c.with(map[string]json.RawMessage{"kv_transfer_params": raw})
}

// continueBody asks an engine to go on after text, the JSON string content
// (without quotes) of the tokens relayed so far.
func (c *Chat) continueBody(text []byte, events int) ([]byte, error) {
	messages := bytes.TrimRight(c.fields["messages"], " \t\r\n")
	messages = bytes.TrimSuffix(messages, []byte("]"))
	var b bytes.Buffer
	b.Write(messages)
	b.WriteString(`,{"role":"assistant","content":"`)
	b.Write(text)
	b.WriteString(`"}]`)
	set := map[string]json.RawMessage{
		"messages":               b.Bytes(),
		"continue_final_message": json.RawMessage("true"),
		"add_generation_prompt":  json.RawMessage("false"),
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if _, ok := c.fields[name]; !ok {
			continue
		}
		left, err := json.Marshal(max(c.MaxTokens-events, 1))
		if err != nil {
			return nil, errors.Wrap(err, "encode max_tokens")
		}
		set[name] = left
	}
	return c.with(set)
}

// ErrorCode returns the code of an engine's error body, or "".
func ErrorCode(body []byte) string {
	var e target.ErrorBody
	if err := json.Unmarshal(body, &e); err != nil {
		return ""
	}
	return strings.TrimSpace(e.Error.Code)
}
