package wqcredentials

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"strings"

	"wisteriaquay/core/wqfault"
)

const (
	bearerPrefix  = "Bearer "
	minTokenBytes = 16  // minTokenBytes is the least length of an operator's token, in bytes.
	maxTokenBytes = 512 // maxTokenBytes bounds an operator's token, in bytes.
)

type digest [sha256.Size]byte

// AuthorizeOperator returns a Denied fault unless the value of the Authorization
// header is "Bearer " and a token that is set.
func (k *Credentials) AuthorizeOperator(authorization string) error {
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
		return wqfault.New(wqfault.Denied, "the operator credential is not known", "use a token that is set as an operator token of the VM")
	}
	return nil
}

// digests reads the tokens of a source, of which at least one must be set, and
// keeps only their digests.
func (l *loader) digests(source string) []digest {
	tokens := strings.Fields(string(l.text("operator token", source)))
	kept := make([]digest, 0, len(tokens))
	for i, t := range tokens {
		if len(t) < minTokenBytes || len(t) > maxTokenBytes {
			message := fmt.Sprintf("operator token %d has %d bytes", i+1, len(t))
			l.fail(message, fmt.Sprintf("use %d to %d random bytes", minTokenBytes, maxTokenBytes))
		}
		kept = append(kept, sha256.Sum256([]byte(t)))
	}
	return kept
}
