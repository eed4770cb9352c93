package infra

import "time"

const (
	// smallBody is the size in bytes up to which a body is sent within the usual timeouts.
	smallBody = 64 << 10
	// minSendRate is the least rate in bytes a second at which larger ones are sent: half of the
	// smallest links, which carry other calls as well.
	minSendRate = 128 << 10
)

// SendTime returns how much longer than usual a call may take because of the size of its body. A call
// that times out is sent again: if a large one timed out on a small link each time, the link would carry
// nothing else.
func SendTime(body int) time.Duration {
	return time.Duration(max(0, body-smallBody)) * time.Second / minSendRate
}
