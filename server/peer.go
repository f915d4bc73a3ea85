package server

import (
	"context"

	"github.com/coltsfootlever/coltsfootlever/messenger"
)

// peerHandler passes messages from other entries to the services that handle them.
type peerHandler struct{ e *Entry }

// PeerHandler returns the handler of messages from other entries.
func (e *Entry) PeerHandler() messenger.Handler {
	return peerHandler{e}
}

// Heartbeat implements messenger.Handler.
func (h peerHandler) Heartbeat(ctx context.Context, hb messenger.Heartbeat) (messenger.Heartbeat, error) {
	return h.e.members.HandleHeartbeat(ctx, hb)
}

// Claim implements messenger.Handler.
func (h peerHandler) Claim(ctx context.Context, r messenger.ClaimRequest) (messenger.ClaimReply, error) {
	return h.e.claims.HandleClaim(ctx, r)
}

// ReportTaskOutcome implements messenger.Handler.
func (h peerHandler) ReportTaskOutcome(ctx context.Context, r messenger.SettleRequest) error {
	return h.e.claims.HandleTaskOutcome(ctx, r)
}

// HandOver implements messenger.Handler.
func (h peerHandler) HandOver(ctx context.Context, r messenger.HandOverRequest) error {
	return h.e.claims.HandleHandOver(ctx, r)
}

// WaitForAnswer implements messenger.Handler.
func (h peerHandler) WaitForAnswer(ctx context.Context, r messenger.AttachRequest) (messenger.Answer, error) {
	return h.e.router.HandleAttach(ctx, r)
}

// ForwardTask implements messenger.Handler.
func (h peerHandler) ForwardTask(ctx context.Context, r messenger.ForwardRequest) (messenger.Answer, error) {
	return h.e.router.HandleForward(ctx, r)
}

// CancelTask implements messenger.Handler.
func (h peerHandler) CancelTask(ctx context.Context, r messenger.CancelRequest) error {
	return h.e.router.HandleCancel(ctx, r)
}

// ListRulesChanges implements messenger.Handler.
func (h peerHandler) ListRulesChanges(ctx context.Context, r messenger.ChangesRequest) (messenger.ChangesReply, error) {
	return h.e.rules.HandleChanges(ctx, r)
}

// FetchReport implements messenger.Handler.
func (h peerHandler) FetchReport(ctx context.Context, r messenger.ReportRequest) (messenger.ReportReply, error) {
	return h.e.reports.HandleReport(ctx, r)
}
