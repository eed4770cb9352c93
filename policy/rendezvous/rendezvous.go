// Package rendezvous scores one of several for a piece of work. Everyone who sees the
// same ones comes to the same answer without asking, and one more or less moves no
// other's work.
package rendezvous

import "hash/fnv"

// Score of the one with this name for the work; by use, the highest or lowest takes it.
// Equal names give equal scores on all VMs, whatever their versions.
func Score(work, name string) uint64 {
	h := fnv.New64a()
	for _, part := range []string{work, "\x00", name} {
		h.Write([]byte(part)) // a hash takes every write
	}
	return mix(h.Sum64())
}

// mix spreads FNV's weak high bits, which names that differ in their last character
// hardly reach. It is the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
