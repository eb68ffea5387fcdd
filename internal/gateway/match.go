package gateway

import (
	"net/http"

	"garnethoist.org/garnethoist/internal/errkind"
)

// matchRoute finds the request's route. It denies a request only if the newest configuration denies
// it.
func (x *exchange) matchRoute() error {
	return x.confirmedByNewest(x.matchRouteInView)
}

// confirmedByNewest returns the result of decide. If decide denies the request under the current
// view, decide is called again under the newest configuration. If this VM cannot confirm that it
// has the newest configuration, the request is refused as not ready.
func (x *exchange) confirmedByNewest(decide func() error) error {
	err := decide()
	if err == nil || !configDenials[errkind.From(err).Kind] {
		return err
	}
	if err = x.confirmDenial(err); errkind.From(err).Kind == errkind.NotReady {
		return err
	}
	x.reloadView()
	return decide()
}

// matchRouteInView is matchRoute for the configuration in x.view.
func (x *exchange) matchRouteInView() error {
	cfg := x.view.Config
	if limit := cfg.Limits.HeaderBytes; limit > 0 && headerBytes(x.r) > limit {
		return errkind.New(errkind.HeaderTooLarge, "the request header is larger than %d bytes", limit)
	}
	x.route = cfg.Match(x.r.Host, requestPath(x.r.RequestURI))
	if x.route == nil {
		return errkind.New(errkind.UnknownPath, "no route for this host and path")
	}
	return nil
}

// configDenials are the kinds of errors that depend on the configuration and after which callers
// don't retry.
var configDenials = map[errkind.Kind]bool{errkind.UnknownPath: true, errkind.HeaderTooLarge: true, errkind.BodyTooLarge: true, errkind.UnknownKey: true}

// confirmDenial returns a NotReady error if err is a denial and this VM may lack the newest
// configuration, which might allow the request. Otherwise it returns err.
func (x *exchange) confirmDenial(err error) error {
	if !configDenials[errkind.From(err).Kind] || x.g.freshness.Confirmed(x.r.Context()) {
		return err
	}
	return x.refusal(errkind.NotReady, err, "it is not known whether the configuration is the newest")
}

// headerOverhead is the number of bytes of a header line in addition to its name and value.
const headerOverhead = len(": \r\n")

// headerBytes returns the approximate size of a request's header as it was sent.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + 2*headerOverhead
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerOverhead
		}
	}
	return n
}
