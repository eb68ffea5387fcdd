package steward

import (
	"context"

	"garnethoist.org/garnethoist/api"
)

// grantBook is what a holder has granted of its services' limits.
type grantBook struct{}

// Grant implements api.StewardServer.
func (s *server) Grant(context.Context, *api.GrantRequest) (*api.GrantResponse, error) {
	return &api.GrantResponse{}, nil
}
