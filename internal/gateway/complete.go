package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/httpsend"
)

// TargetChecker asks targets whether they are running. Its methods are safe for concurrent use.
type TargetChecker interface {
	// CheckRunning returns nil only if the target t of service s has answered. Silence and a closed connection
	// are errors. The error is ErrReplaced if another target has answered at the address.
	CheckRunning(ctx context.Context, t *fleet.Target, s *fleet.Service) error
}

// ErrReplaced reports that another target runs at the address of a target, whose process has therefore exited.
var ErrReplaced = errors.New("gateway: another target runs at the address")

// runningCheckTimeout limits the time in which a target must show that it is running.
const runningCheckTimeout = time.Second

// checkComplete returns an error if a body that has been read to its end may lack a part. A body that ends
// with its connection is complete only if its target shows that it is running, because the connections of a
// target that crashes, or that leaves and is stopped, end in the same way.
func (x *exchange) checkComplete(t *fleet.Target, resp *httpsend.Response) error {
	if resp.Framing != httpsend.FramedByConn {
		return nil
	}
	service := x.g.keeper.View().Config.Services[t.Service]
	if service == nil {
		return resp.Truncated()
	}
	ctx, cancel := context.WithTimeout(x.g.abortCtx, runningCheckTimeout)
	defer cancel()
	// The check must begin after the end of the body, so checks of one target are not merged.
	if err := x.g.checker.CheckRunning(ctx, t, service); err != nil {
		x.addTrace(t, "not_running", err)
		return resp.Truncated()
	}
	return nil
}
