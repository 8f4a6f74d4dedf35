// Package wqwriteresult converts the result of a write-like request between the type
// in wqticket, which the decisions use, and the protobuf message for callers and
// peers. No other package converts between the two.
//
// # Usage
//
//	reply := wqwriteresult.Encode(ticket, result)
//	result := wqwriteresult.Decode(reply)
package wqwriteresult

import (
	"wisteriaquay/core/wqticket"
	"wisteriaquay/io/wqpb"
)

// Encode returns the message for the result of the request with this ticket.
func Encode(ticket string, r wqticket.Result) *wqpb.WriteResponse {
	return &wqpb.WriteResponse{
		Ticket:  ticket,
		Outcome: encodeOutcome(r.Outcome),
		Body:    r.Body,
		Reason:  r.Reason,
		Remedy:  r.Remedy,
	}
}

// Decode returns the result in a message. An unrecognized outcome becomes Unknown.
func Decode(m *wqpb.WriteResponse) wqticket.Result {
	return wqticket.Result{
		Outcome: decodeOutcome(m.GetOutcome()),
		Body:    m.GetBody(),
		Reason:  m.GetReason(),
		Remedy:  m.GetRemedy(),
	}
}

func encodeOutcome(o wqticket.Outcome) wqpb.Outcome {
	switch o {
	case wqticket.Pending:
		return wqpb.Outcome_OUTCOME_PENDING
	case wqticket.Done:
		return wqpb.Outcome_OUTCOME_DONE
	case wqticket.NotRun:
		return wqpb.Outcome_OUTCOME_NOT_RUN
	default:
		return wqpb.Outcome_OUTCOME_UNKNOWN
	}
}

func decodeOutcome(o wqpb.Outcome) wqticket.Outcome {
	switch o {
	case wqpb.Outcome_OUTCOME_PENDING:
		return wqticket.Pending
	case wqpb.Outcome_OUTCOME_DONE:
		return wqticket.Done
	case wqpb.Outcome_OUTCOME_NOT_RUN:
		return wqticket.NotRun
	default:
		return wqticket.Unknown
	}
}
