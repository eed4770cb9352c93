package standin

// Runner is what runs on a VM and is told what befalls it. Calls come one at
// a time for each VM, without the stand-in's locks held.
type Runner interface {
	// Drain tells it to refuse new work and finish what it has.
	Drain()
	// Undrain takes a Drain back.
	Undrain()
	// InFlight returns the requests that it works on.
	InFlight() int
	// Stop ends it at once; it returns how many requests that cut.
	Stop() (cut int)
	// Start starts it anew, not draining.
	Start()
}

// Hooks is a Runner made of functions; those that are nil do nothing.
type Hooks struct {
	OnDrain   func()
	OnUndrain func()
	OnStop    func() (cut int)
	OnStart   func()
	Requests  func() int
}

// Drain implements Runner.
func (h Hooks) Drain() { call(h.OnDrain) }

// Undrain implements Runner.
func (h Hooks) Undrain() { call(h.OnUndrain) }

// Start implements Runner.
func (h Hooks) Start() { call(h.OnStart) }

// InFlight implements Runner.
func (h Hooks) InFlight() int {
	if h.Requests == nil {
		return 0
	}
	return h.Requests()
}

// Stop implements Runner.
func (h Hooks) Stop() int {
	if h.OnStop == nil {
		return h.InFlight()
	}
	return h.OnStop()
}

func call(f func()) {
	if f != nil {
		f()
	}
}
