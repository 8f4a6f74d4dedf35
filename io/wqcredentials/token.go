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
	minTokenBytes = 16  // minTokenBytes is the minimal length of an operator's token, in bytes.
	maxTokenBytes = 512 // maxTokenBytes is the maximal length of an operator's token, in bytes.
)

type tokenDigest [sha256.Size]byte

// AuthorizeOperator returns nil when the value of the Authorization header is
// "Bearer " and one of the operators' tokens, else a Denied fault. Tokens are
// compared by digest in constant time.
func (c *Credentials) AuthorizeOperator(authorization string) error {
	token, found := strings.CutPrefix(authorization, bearerPrefix)
	if !found || token == "" || len(token) > maxTokenBytes {
		return wqfault.New(wqfault.Denied, "the call has no operator credential", "send the header Authorization: Bearer TOKEN")
	}
	sum := sha256.Sum256([]byte(token))
	matched := 0
	for _, d := range c.current.Load().operatorTokens {
		matched |= subtle.ConstantTimeCompare(d[:], sum[:])
	}
	if matched == 0 {
		return wqfault.New(wqfault.Denied, "the operator token is invalid", "use a token that is set in --operator-token of the VM")
	}
	return nil
}

// tokenDigests returns the digests of the tokens in a setting, so that the tokens
// themselves don't stay in memory. It adds a fault when the setting is empty and for
// each token of a wrong length.
func (l *loader) tokenDigests(source string) []tokenDigest {
	tokens := strings.Fields(string(l.requireSource("operator token", source)))
	digests := make([]tokenDigest, 0, len(tokens))
	for i, t := range tokens {
		if len(t) < minTokenBytes || len(t) > maxTokenBytes {
			message := fmt.Sprintf("operator token %d has %d bytes", i+1, len(t))
			l.addFault(message, fmt.Sprintf("use %d to %d random bytes", minTokenBytes, maxTokenBytes))
		}
		digests = append(digests, sha256.Sum256([]byte(t)))
	}
	return digests
}
