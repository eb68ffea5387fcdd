package errkind

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// HeaderOutcome is the response header that carries the Outcome of a refused or failed request.
const HeaderOutcome = "X-Garnet-Outcome"

// errorBody is the error object of the chat completions protocol, extended with the outcome and the
// retry delay.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail holds the fields of the error object. RetryAfterSeconds is rounded up to whole
// seconds.
type errorDetail struct {
	Message           string  `json:"message"`
	Type              string  `json:"type"`
	Code              Kind    `json:"code"`
	Outcome           Outcome `json:"outcome"`
	RetryAfterSeconds int     `json:"retry_after_s,omitempty"`
}

// errorType is the type field of every error object.
const errorType = "garnethoist_error"

// Body returns e encoded as the JSON error object that callers receive.
func Body(e *Error) []byte {
	r := e.Response()
	b := errorBody{Error: errorDetail{
		Message: e.Detail, Type: errorType, Code: e.Kind, Outcome: r.Outcome,
		RetryAfterSeconds: ceilSeconds(r.RetryAfter),
	}}
	data, err := json.Marshal(b)
	if err != nil {
		// Cannot happen: errorBody holds only strings and integers.
		panic("errkind: encode body: " + err.Error())
	}
	return data
}

// Write sends e as the complete response: status, headers and JSON body. The Retry-After header is
// in whole seconds, rounded up.
func Write(w http.ResponseWriter, e *Error) {
	r := e.Response()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(r.Outcome))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(r.RetryAfter)))
	}
	w.WriteHeader(r.Status)
	// A failed write means that the caller has closed its connection.
	_, _ = w.Write(Body(e))
}

// ceilSeconds returns d in seconds, rounded up.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
