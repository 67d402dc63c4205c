package node

import (
	"rainhaven/choice"
	"rainhaven/internal/invariant"
)

// retryBudget is the platform's retry budget, from the settings.
func (n *Node) retryBudget() invariant.Budget {
	f := n.config.Choice
	return invariant.Budget{BaseAllowance: f.BaseRetries, RequestShare: f.RetriesPerSession, WindowSeconds: f.RetryWindow}
}

// logViolation logs a violation of an invariant. The guard counts them.
func (n *Node) logViolation(v invariant.Violation) {
	n.log.Error("invariant violated: "+v.Reason.String(), str("request", v.Request), str("detail", v.Detail))
}

// provesNoEffect reports whether an outcome proves that the SETUP had no effect at its server.
func provesNoEffect(o choice.Outcome) bool {
	return o == choice.Full || o == choice.NoConnection || o == choice.Unsent
}

// answerKind classifies a refusing status: 453, 454 and 503 promise that the request had no effect.
func answerKind(status int) invariant.AnswerKind {
	switch status {
	case 453, 454, 503:
		return invariant.Refused
	}
	return invariant.Failed
}

// refuse sends the final answer that refuses an open request, unless the guard objects or the client is gone.
func (n *Node) refuse(v *client, id string, status int, retryAfter float64) {
	if !n.guard.Answer(n.now, id, answerKind(status)) || v == nil || n.sabotages(SabotageAnswer, id) {
		return
	}
	if n.sabotages(SabotageTwice, id) {
		v.send(refusalMessage(id, status, retryAfter))
	}
	if from, _ := v.send(refusalMessage(id, status, retryAfter)); from < 0 {
		n.log.Info("final answer not sent: the client's connection has closed", str("sess", id), str("from", v.peer()))
	}
}
