package errkind

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// HeaderOutcome carries the outcome of a refused or failed request.
const HeaderOutcome = "X-Garnet-Outcome"

// body is the error object of the chat completions protocol with the outcome
// added.
type body struct {
	Error detail `json:"error"`
}

type detail struct {
	Message           string  `json:"message"`
	Type              string  `json:"type"`
	Code              Kind    `json:"code"`
	Outcome           Outcome `json:"outcome"`
	RetryAfterSeconds int     `json:"retry_after_s,omitempty"`
}

// errorType is the type field of every error object.
const errorType = "garnethoist_error"

// Body returns the JSON error object of e.
func Body(e *Error) []byte {
	a := e.Answer()
	b := body{Error: detail{
		Message: e.Detail, Type: errorType, Code: e.Kind, Outcome: a.Outcome,
		RetryAfterSeconds: ceilSeconds(a.RetryAfter),
	}}
	data, err := json.Marshal(b)
	if err != nil {
		// Only strings and numbers are encoded.
		panic("errkind: encode body: " + err.Error())
	}
	return data
}

// Write answers a request with e.
func Write(w http.ResponseWriter, e *Error) {
	a := e.Answer()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(a.Outcome))
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(a.RetryAfter)))
	}
	w.WriteHeader(a.Status)
	// A failed write means that the caller has gone.
	_, _ = w.Write(Body(e))
}

func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
