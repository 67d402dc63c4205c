package node

import (
	"rainhaven/choice"
	"rainhaven/internal/invariant"
)

// retryBudget is the platform's retryBudget of further attempts, as the settings state it.
func (n *Node) retryBudget() invariant.Budget {
	f := n.config.Config
	return invariant.Budget{BaseAllowance: f.BaseRetries, RequestShare: f.RetriesPerSession, WindowSeconds: f.RetryWindow}
}

// logViolation logs a violation; the guard counts it.
func (n *Node) logViolation(v invariant.Violation) {
	n.log.Error("invariant violated: "+v.Reason.String(), str("request", v.Request), str("detail", v.Detail))
}

// provesNoEffect tells whether an outcome proves that its attempt had no effect.
func provesNoEffect(o choice.Outcome) bool {
	return o == choice.Full || o == choice.NoConnection || o == choice.Unsent
}

// answerKind is what a refusing status promises: 453, 454 and 503 that nothing ran.
func answerKind(status int) invariant.AnswerKind {
	switch status {
	case 453, 454, 503:
		return invariant.Refused
	}
	return invariant.Failed
}

// refuse writes the final answer that refuses an open request, unless it has had one.
func (n *Node) refuse(v *client, id string, status int, comeBack float64) {
	if !n.guard.Answer(n.now, id, answerKind(status)) || v == nil || n.sabotages(SabotageAnswer, id) {
		return
	}
	if n.sabotages(SabotageTwice, id) {
		v.send(refusalMessage(id, status, comeBack))
	}
	if from, _ := v.send(refusalMessage(id, status, comeBack)); from < 0 {
		n.log.Info("an answer found its client's connection ended", str("sess", id), str("from", v.peer()))
	}
}
