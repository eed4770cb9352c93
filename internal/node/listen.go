package node

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
)

// A port may be taken for a moment as the daemon starts: the process that it replaces is
// still ending. A daemon that gave up at once would leave it to its supervisor to try again
// in time; one that tried for ever would hide that the settings name a port of somebody else.
const (
	listenAttempts      = 30
	listenRetryInterval = 100 * time.Millisecond
)

// listen opens the address, and tries again for three seconds while somebody else has it.
func listen(address string, pause func(time.Duration), log logr.Logger) (net.Listener, error) {
	for try := 1; ; try++ {
		l, err := net.Listen("tcp", address)
		if err == nil {
			return l, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || try == listenAttempts {
			return nil, trace.Wrap(err)
		}
		if try == 1 {
			log.Info("address is taken; trying again", "address", address, "tries", listenAttempts, "pause", listenRetryInterval.String())
		}
		pause(listenRetryInterval)
	}
}
