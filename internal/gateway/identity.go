package gateway

import (
	"net"

	"garnethoist.org/garnethoist/internal/quarantine"
)

// identity returns what is the same in each attempt of the request, at every VM. The
// caller's address stands for its client account.
func (x *exchange) identity() quarantine.Request {
	account, _, err := net.SplitHostPort(x.r.RemoteAddr)
	if err != nil {
		account = x.r.RemoteAddr
	}
	return quarantine.Request{Account: account, Method: x.r.Method, Host: x.r.Host, URI: x.r.RequestURI, Body: x.body}
}
