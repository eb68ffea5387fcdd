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
		Service: x.service, Parts: x.sharedPartIDs(),
	}
}

// maxSharedParts is the maximum number of the parts of a prompt that are known by id, the first ones.
const maxSharedParts = 32

// sharedPartIDs returns the ids of the parts of the prompt that other prompts may share.
func (x *exchange) sharedPartIDs() []string {
	if x.meta.Prompt == nil {
		return nil
	}
	parts := x.meta.Prompt.SharedParts()
	ids := make([]string, 0, min(len(parts), maxSharedParts))
	for _, part := range parts[:cap(ids)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// addressOf returns the host part of a remote address.
func addressOf(remote string) string {
	address, _, err := net.SplitHostPort(remote)
	if err != nil {
		return remote
	}
	return address
}
