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

// Chat is a caller's chat completion request. Fields that the relay does not know are preserved
// as received.
type Chat struct {
	// body is the request as received, and fields its top-level fields.
	body   []byte
	fields map[string]json.RawMessage
	// Stream says whether the caller wants server-sent events.
	Stream bool
	// MaxTokens is the most tokens to generate; zero when not given.
	MaxTokens int
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int
	// Prefix is the hash of the prompt's beginning.
	Prefix uint64
	// deterministic is set if the request produces the same response each time it is run, as it
	// has a seed or a temperature of 0.
	deterministic bool
	// singleChoice is set if the request asks for one choice.
	singleChoice bool
}

const (
	// bytesPerToken is the assumed length of a token in JSON text, for estimates.
	bytesPerToken = 4
	// prefixHashBytes is how many bytes of the messages' JSON are hashed into the prefix. A
	// request is matched by its prefix with the engines that may have it cached.
	prefixHashBytes = 1024
)

// ParseChat parses a request body and checks the fields that the relay uses. Its error is an
// *errkind.Error of kind BadRequest.
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
	if err := c.parseOptions(); err != nil {
		return nil, err
	}
	prompt := c.fields["messages"]
	c.PromptTokens = len(prompt)/bytesPerToken + 1
	c.Prefix = xxhash.Sum64(prompt[:min(len(prompt), prefixHashBytes)])
	return c, nil
}

// parseOptions parses the optional fields that the relay uses.
func (c *Chat) parseOptions() error {
	var maxCompletionTokens, n int
	var temperature *float64
	var seed *int64
	options := []struct {
		name string
		dst  any
	}{
		{"stream", &c.Stream},
		{"max_tokens", &c.MaxTokens},
		{"max_completion_tokens", &maxCompletionTokens},
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
	if maxCompletionTokens > 0 {
		c.MaxTokens = maxCompletionTokens
	}
	if c.MaxTokens < 0 || n < 0 {
		return errkind.New(errkind.BadRequest, "max_tokens and n must not be negative")
	}
	c.singleChoice = n <= 1
	c.deterministic = seed != nil || (temperature != nil && *temperature == 0)
	return nil
}

// withFields returns the body with the given fields replaced or added. The other fields keep
// their values.
func (c *Chat) withFields(set map[string]json.RawMessage) ([]byte, error) {
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

// prefillBody returns the body that asks an engine to run only the prefill and export the KV
// cache.
func (c *Chat) prefillBody() ([]byte, error) {
	return c.withFields(map[string]json.RawMessage{
		"stream":                json.RawMessage("false"),
		"max_tokens":            json.RawMessage("1"),
		"max_completion_tokens": json.RawMessage("1"),
		"kv_transfer_params":    json.RawMessage(`{"do_remote_decode":true,"do_remote_prefill":false}`),
	})
}

// decodeBody returns the body that asks an engine to import the KV cache kv and decode.
func (c *Chat) decodeBody(kv target.KVTransfer) ([]byte, error) {
	raw, err := json.Marshal(kv)
	if err != nil {
		return nil, errors.Wrap(err, "encode kv_transfer_params")
	}
	return c.withFields(map[string]json.RawMessage{"kv_transfer_params": raw})
}

// continueBody returns the body that asks an engine to continue the response after text, which
// is the content of a JSON string (without quotes) and has been relayed in the given number of
// events. Each event counts as a token of max_tokens.
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
	return c.withFields(set)
}

// ErrorCode returns the error code in an engine's error body, or "" if there is none.
func ErrorCode(body []byte) string {
	var e target.ErrorBody
	if err := json.Unmarshal(body, &e); err != nil {
		return ""
	}
	return strings.TrimSpace(e.Error.Code)
}
