// Package rendezvous implements rendezvous (highest random weight) hashing: it
// scores each of several candidates for a piece of work. VMs with the same list
// of candidates agree without communication, and adding or removing a candidate
// moves only the work of that candidate.
package rendezvous

import "hash/fnv"

// Score returns the score of the named candidate for the work. Depending on its
// use, the candidate with the highest or the lowest score takes the work. Equal
// arguments give equal scores on all VMs and in all versions of the software.
func Score(work, name string) uint64 {
	h := fnv.New64a()
	for _, part := range []string{work, "\x00", name} {
		h.Write([]byte(part)) // never returns an error
	}
	return mix(h.Sum64())
}

// mix is the finalizer of MurmurHash3. FNV's high bits are weak: names that
// differ only in their last character hardly change them.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
