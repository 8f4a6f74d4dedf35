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
	maxTicketBytes = 160 // maxTicketBytes bounds the text of a ticket.
	ticketParts    = 4
	checkDigits    = 20 // checkDigits is how many hexadecimal digits the check has.
)

// ID names one write-like request and the start of the VM that minted it. Its
// text is "<vm>.<epoch>.<sequence>.<check>".
type ID struct {
	VM       string
	Epoch    uint64 // Epoch is the start of the VM, as in wqmember.Member.
	Sequence uint64 // Sequence grows by one with each ticket of one start.
	MAC      string // MAC proves to the VM that it minted the ticket itself.
}

// String returns the text of the ticket.
func (id ID) String() string {
	return fmt.Sprintf("%s.%d.%d.%s", id.VM, id.Epoch, id.Sequence, id.MAC)
}

// Parse reads the text of a ticket, or returns a BadInput fault. Only the VM
// that minted the ticket can verify its check.
func Parse(text string) (ID, error) {
	parts := strings.Split(text[:min(len(text), maxTicketBytes)], ".")
	if len(text) > maxTicketBytes || len(parts) != ticketParts || parts[0] == "" || len(parts[3]) != checkDigits {
		return ID{}, malformed()
	}
	epoch, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return ID{}, malformed()
	}
	sequence, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return ID{}, malformed()
	}
	id := ID{VM: parts[0], Epoch: epoch, Sequence: sequence, MAC: parts[3]}
	if id.String() != text {
		return ID{}, malformed()
	}
	return id, nil
}

func malformed() error {
	return wqfault.New(wqfault.BadInput, "the ticket is malformed", "send the ticket as it came from Ticket, unchanged")
}

// sign returns the check of a ticket under the secret of one start of a VM.
func sign(secret []byte, id ID) string {
	mac := hmac.New(sha256.New, secret)
	_, _ = fmt.Fprintf(mac, "%s.%d.%d", id.VM, id.Epoch, id.Sequence)
	return fmt.Sprintf("%x", mac.Sum(nil)[:checkDigits/2])
}

// Content is what a write-like request asks for. A ticket stands for one
// content only.
type Content struct {
	Tenant  string
	Class   string
	Service string
	Shard   string
	Body    []byte
}

type digest [sha256.Size]byte

// digest returns a digest in which no field can be taken for part of another.
func (c Content) digest() digest {
	h := sha256.New()
	for _, field := range []string{c.Tenant, c.Class, c.Service, c.Shard} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(field), field)
	}
	_, _ = h.Write(c.Body)
	return digest(h.Sum(nil))
}
