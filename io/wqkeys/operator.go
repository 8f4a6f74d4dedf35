package wqkeys

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"
	"unicode"

	"wisteriaquay/core/wqfault"
)

const (
	bearerPrefix  = "Bearer "
	maxTokenBytes = 512 // maxTokenBytes bounds an operator's token, in bytes.
)

type digest [sha256.Size]byte

// Digest returns the digest of an operator's token, in hexadecimal, as
// Settings.OperatorDigests takes it.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// CheckOperator returns a Denied fault unless the value of the Authorization
// header is "Bearer " and a token whose digest is set.
func (k *Keys) CheckOperator(authorization string) error {
	token, found := strings.CutPrefix(authorization, bearerPrefix)
	if !found || token == "" || len(token) > maxTokenBytes {
		return wqfault.New(wqfault.Denied, "the call has no operator credential", "send the header Authorization: Bearer TOKEN")
	}
	sum := sha256.Sum256([]byte(token))
	known := 0
	for _, d := range k.current.Load().operators {
		known |= subtle.ConstantTimeCompare(d[:], sum[:])
	}
	if known == 0 {
		return wqfault.New(wqfault.Denied, "the operator credential is not known", "use a token whose digest is among the VM's operator digests")
	}
	return nil
}

// digests parses the digests of a source; an empty source gives none, which
// denies every operator.
func (l *loader) digests(source string) []digest {
	if source == "" {
		return nil
	}
	var parsed []digest
	for _, field := range strings.FieldsFunc(string(l.content("operator digests", source)), isSeparator) {
		d, err := hex.DecodeString(field)
		if err != nil || len(d) != sha256.Size {
			l.fail(fmt.Sprintf("operator digest %d is not a SHA-256 digest", len(parsed)+1), "set 64 hexadecimal digits for each token")
			continue
		}
		parsed = append(parsed, digest(d))
	}
	return parsed
}

func isSeparator(r rune) bool { return r == ',' || unicode.IsSpace(r) }
