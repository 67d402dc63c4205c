package node

import (
	"rainhaven/choice"
	"rainhaven/internal/invariant"
)

// retryBudget is the platform's retry budget, from the settings.
func (n *Node) retryBudget() invariant.Budget {
	config := n.config.Choice
	return invariant.Budget{BaseAllowance: config.BaseRetries, RequestShare: config.RetriesPerSession, WindowSeconds: config.RetryWindow}
}

// logViolation logs a violation of an invariant. The guard counts them.
func (n *Node) logViolation(v invariant.Violation) {
	n.log.Error("invariant violated: "+v.Reason.String(), str("request", v.Request), str("detail", v.Detail))
}

// provesNoEffect reports whether an outcome proves that the SETUP had no effect at its server.
func provesNoEffect(outcome choice.Outcome) bool {
	return outcome == choice.Full || outcome == choice.NoConnection || outcome == choice.Unsent
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
func (n *Node) refuse(cl *client, id string, status int, retryAfter float64) {
	if !n.guard.Answer(n.now, id, answerKind(status)) || cl == nil || n.sabotages(SabotageAnswer, id) {
		return
	}
	if n.sabotages(SabotageTwice, id) {
		cl.send(refusalMessage(id, status, retryAfter))
	}
	if from, _ := cl.send(refusalMessage(id, status, retryAfter)); from < 0 {
		n.log.Info("final answer not sent: the client's connection has closed", str("sess", id), str("from", cl.peer()))
	}
}
