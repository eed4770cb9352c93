package ownerlink

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
)

// Guards against a refusal by the owner that reaches the caller as an uncertain outcome, or as another
// refusal.
func TestTheOwnersErrorsReachTheCaller(t *testing.T) {
	for _, err := range []error{
		nil, engine.ErrNotReady, engine.ErrStore, engine.ErrUncertain, engine.ErrUnknownJob, engine.ErrOtherWorkspace, engine.ErrCancelledEarly,
	} {
		assert.Equal(t, resultOf(err).err(), err)
	}
}
