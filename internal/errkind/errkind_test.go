package errkind

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Each kind needs a response with a status and an outcome, and an entry on the operators' page.
func TestEveryKindHasResponseAndDocs(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/operators/errors.md")
	is.NoErr(err)
	for _, k := range Kinds() {
		r := ResponseFor(k)
		is.True(r.Status >= 400)
		is.True(r.Outcome == NotRun || r.Outcome == MayHaveRun || r.Outcome == Ran)
		is.True(strings.Contains(string(page), "`"+string(k)+"`")) // documented
	}
	is.Equal(ResponseFor("made_up"), ResponseFor(Internal))
}

// A response has the status of the error's kind, the retry delay and outcome in its header, and the
// error object as its body.
func TestWrite(t *testing.T) {
	is := is.New(t)
	e := New(RateLimited, "too many")
	e.RetryAfter = 1500 * time.Millisecond
	w := httptest.NewRecorder()
	Write(w, From(errors.Wrap(e, "context")))
	is.Equal(w.Code, 429)
	is.Equal(w.Header().Get("Retry-After"), "2") // rounded up
	is.Equal(w.Header().Get(HeaderOutcome), "not_run")
	var b errorBody
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &b))
	is.Equal(b.Error.Code, RateLimited)
	is.Equal(b.Error.Message, "too many")
}

// An error that is no *Error is reported as Internal, without its text, because the text could
// contain other callers' data.
func TestUnlistedErrorsAreInternal(t *testing.T) {
	is := is.New(t)
	e := From(errors.New("secret detail"))
	is.Equal(e.Kind, Internal)
	is.True(!strings.Contains(string(Body(e)), "secret")) // the cause is only logged
	is.Equal(e.Response().Outcome, MayHaveRun)
}
