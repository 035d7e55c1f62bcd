package route

import "hash/fnv"

// hashString returns a hash that is the same in every process.
func hashString(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // hash.Hash.Write never returns an error.
	return mix(h.Sum64())
}

// HashPrefix returns the hash of a prompt's prefix for Request. It is never 0.
func HashPrefix(prefix []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(prefix)
	return max(1, mix(h.Sum64()))
}

// mix is the finalizer of SplitMix64: each bit of x affects all bits of the
// result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
