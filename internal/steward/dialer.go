package steward

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"garnethoist.org/garnethoist/api"
)

// dialer keeps one connection to each steward that it has called. It is safe for
// concurrent use.
type dialer struct {
	traffic *traffic

	mu sync.Mutex
	// conns is keyed by address.
	conns map[string]*grpc.ClientConn
}

func newDialer(t *traffic) *dialer {
	return &dialer{traffic: t, conns: map[string]*grpc.ClientConn{}}
}

// Stop closes all connections and returns the first error.
func (d *dialer) Stop(context.Context) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var firstErr error
	for _, c := range d.conns {
		if err := c.Close(); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return errors.Wrap(firstErr, "close connections")
}

// client returns a client for the steward at address, which it connects to if needed.
func (d *dialer) client(address string) (api.StewardClient, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.conns[address]
	if !ok {
		var err error
		c, err = grpc.NewClient(address,
			grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithStatsHandler(d.traffic))
		if err != nil {
			return nil, errors.Wrapf(err, "dial %s", address)
		}
		d.conns[address] = c
	}
	return api.NewStewardClient(c), nil
}

// Exchange implements member.Dialer.
func (d *dialer) Exchange(ctx context.Context, address string, req *api.ExchangeRequest) (*api.ExchangeResponse, error) {
	c, err := d.client(address)
	if err != nil {
		return nil, err
	}
	return c.Exchange(ctx, req)
}
