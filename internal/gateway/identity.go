package gateway

import (
	"net"

	"garnethoist.org/garnethoist/internal/quarantine"
)

// quarantineRequest returns what identifies the request across all its attempts and on all VMs.
func (x *exchange) quarantineRequest() quarantine.Request {
	source := x.accountName()
	if source == "" {
		source = addressOf(x.r.RemoteAddr)
	}
	return quarantine.Request{
		Account: x.accountName(), Source: source, Method: x.r.Method, Host: x.r.Host, URI: x.r.RequestURI, Body: x.body,
	}
}

// addressOf returns the host part of a remote address.
func addressOf(remote string) string {
	address, _, err := net.SplitHostPort(remote)
	if err != nil {
		return remote
	}
	return address
}
