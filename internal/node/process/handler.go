package process

import (
	"context"
	"fmt"

	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/peer/transport"
)

// UnknownQuestionError reports a kind of question that this node does not know, as a peer of
// a later release may send.
type UnknownQuestionError struct {
	Kind question.Kind
}

// Error implements the error interface.
func (e *UnknownQuestionError) Error() string {
	return fmt.Sprintf("unknown question %d", e.Kind)
}

// Answer implements link.Handler.
func (p *Process) Answer(ctx context.Context, kind uint32, payload []byte) ([]byte, error) {
	switch kind {
	case question.Digest:
		return p.membership.AnswerDigest(payload)
	case question.Head:
		return p.membership.AnswerHead()
	case question.Chunk:
		return p.membership.AnswerChunk(payload)
	case question.Loan:
		return p.limiter.AnswerLoan(payload)
	case question.HealthReport:
		return p.ejections.AnswerReport(payload)
	case question.Heartbeat:
		return nil, p.registrar.AnswerAnnounce(payload)
	case question.CapacitySummary:
		return p.registrar.AnswerSummary(payload)
	}
	return nil, &UnknownQuestionError{Kind: kind}
}

// Serve implements link.Handler.
func (p *Process) Serve(ctx context.Context, head *peerpb.RequestHead, stream *link.Stream) {
	transport.ServeCall(ctx, p.owner, head, stream)
}
