package faketarget

// Serving reports whether the target is up and accepts new requests.
func (t *Target) Serving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.server != nil && !t.leaving
}
