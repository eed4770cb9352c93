package node

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
)

// A port may still be in use for a moment as the daemon starts, because the process that it
// replaces is still exiting. Giving up at once would leave the restart to the supervisor and
// its delays; retrying without end would hide that the settings name another program's port.
const (
	listenAttempts      = 30
	listenRetryInterval = 100 * time.Millisecond
)

// listen opens the address with the configuration. While it is in use, listen tries again for three
// seconds, and calls pause between attempts; any other error is returned at once.
func listen(config net.ListenConfig, address string, pause func(time.Duration), log logr.Logger) (net.Listener, error) {
	for try := 1; ; try++ {
		l, err := config.Listen(context.Background(), "tcp", address)
		if err == nil {
			return l, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || try == listenAttempts {
			return nil, trace.Wrap(err)
		}
		if try == 1 {
			log.Info("address already in use; retrying", "address", address, "tries", listenAttempts, "pause", listenRetryInterval.String())
		}
		pause(listenRetryInterval)
	}
}
