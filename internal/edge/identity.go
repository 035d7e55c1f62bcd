package edge

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash/fnv"
	"strconv"
)

// identityBytes is the length of a request's identity before its encoding.
const identityBytes = 12

// identity returns what equal requests of one caller have in common at all instances: a
// hash of service, organisation, method, host, path, prompt and body. Ids, deadlines and
// other header fields differ from one try to the next and are left out.
func (x *exchange) identity() string {
	if x.identityHash == "" {
		h := sha256.New()
		organisation := ""
		if x.org != nil {
			organisation = x.org.Name
		}
		d := &x.e.Dialect
		for _, part := range [][]byte{
			[]byte(x.service), []byte(organisation), x.head.Method, x.head.Get("Host"), x.head.Path,
			x.head.Get(d.Prefix), x.body,
		} {
			var length [8]byte
			binary.BigEndian.PutUint64(length[:], uint64(len(part)))
			_, _ = h.Write(length[:]) // A hash returns no errors.
			_, _ = h.Write(part)
		}
		x.identityHash = x.near() + "-" + hex.EncodeToString(h.Sum(nil)[:identityBytes])
	}
	return x.identityHash
}

// near returns a short hash of caller and path, with which the identity begins.
func (x *exchange) near() string {
	if x.nearHash == "" {
		h := fnv.New32a()
		if x.org != nil {
			_, _ = h.Write([]byte(x.org.Name)) // A hash returns no errors.
		}
		_, _ = h.Write(x.head.Path)
		x.nearHash = strconv.FormatUint(uint64(h.Sum32()), 16)
	}
	return x.nearHash
}
