package wqticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"strconv"
	"strings"

	"wisteriaquay/core/wqfault"
)

const (
	maxTicketBytes = 160 // limit on the text of a ticket
	ticketFields   = 4
	macDigits      = 20 // hexadecimal digits of the MAC: 80 bits
)

// ID identifies one write-like request and the run of the VM process that
// minted it. Its text is "<vm>.<epoch>.<sequence>.<mac>".
type ID struct {
	VM       string
	Epoch    uint64 // epoch of the VM, as in wqmember.Member
	Sequence uint64 // counts the tickets of one epoch, from 1
	MAC      string // proves to the minting VM that the ticket is its own
}

// String returns the text form of the ticket, which Parse reads.
func (id ID) String() string {
	return fmt.Sprintf("%s.%d.%d.%s", id.VM, id.Epoch, id.Sequence, id.MAC)
}

// Parse parses the text form of a ticket. It returns a BadInput fault when the
// text is malformed. It does not verify the MAC: only the VM that minted the
// ticket has the key.
func Parse(text string) (ID, error) {
	fields := strings.Split(text[:min(len(text), maxTicketBytes)], ".")
	if len(text) > maxTicketBytes || len(fields) != ticketFields || fields[0] == "" || len(fields[3]) != macDigits {
		return ID{}, malformedTicket()
	}
	epoch, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return ID{}, malformedTicket()
	}
	sequence, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return ID{}, malformedTicket()
	}
	id := ID{VM: fields[0], Epoch: epoch, Sequence: sequence, MAC: fields[3]}
	if id.String() != text {
		return ID{}, malformedTicket()
	}
	return id, nil
}

func malformedTicket() error {
	return wqfault.New(wqfault.BadInput, "the ticket is malformed", "send the ticket as it came from Ticket, unchanged")
}

// sign returns the MAC of a ticket, in hexadecimal, under the secret of one
// epoch of a VM.
func sign(secret []byte, id ID) string {
	mac := hmac.New(sha256.New, secret)
	_, _ = fmt.Fprintf(mac, "%s.%d.%d", id.VM, id.Epoch, id.Sequence)
	return fmt.Sprintf("%x", mac.Sum(nil)[:macDigits/2])
}

// Content is the payload of a write-like request and where it goes. A ticket
// can be used with one Content only.
type Content struct {
	Tenant  string
	Class   string
	Service string
	Shard   string
	Body    []byte
}

type contentDigest [sha256.Size]byte

// digest returns a SHA-256 digest of the content. Each field is prefixed with
// its length, so that text moved from one field to the next changes the digest.
func (c Content) digest() contentDigest {
	h := sha256.New()
	for _, field := range []string{c.Tenant, c.Class, c.Service, c.Shard} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(field), field)
	}
	_, _ = h.Write(c.Body)
	return contentDigest(h.Sum(nil))
}
