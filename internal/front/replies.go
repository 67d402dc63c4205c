package front

import (
	"rainhaven/choice/session"
	"rainhaven/internal/rtsp"
)

// A request that was read on a viewer's connection gets one response, in the order of the requests, whatever becomes of the session
// that it concerns. docs/rtsp.md lists the status for each end of a session; TestRequestsAtASessionsEnd plays that table.

// replyStatus is the status of the response to a request that did not succeed within its session.
var replyStatus = map[session.Result]int{
	session.NoSession:       rtsp.SessionNotFound,
	session.WrongState:      rtsp.NotValidInThisState,
	session.BoxRefused:      rtsp.InternalError,
	session.BoxUnavailable:  rtsp.GatewayTimeout,
	session.TooManyRequests: rtsp.ServiceUnavailable,
}

// closeAnswered answers the requests that are still unanswered, so that the viewer repeats them elsewhere, and closes the connection
// once its queue is written.
func (v *viewer) closeAnswered() {
	for len(v.pending) > 0 {
		unanswered := v.pending[0]
		v.respondStatus(unanswered, rtsp.ServiceUnavailable)
	}
	v.finish()
}

// answerPendingOps answers the requests within a session that is removed without having replied to them.
func (sess *frontSession) answerPendingOps(status int) {
	for n, pr := range sess.pendingOps {
		delete(sess.pendingOps, n)
		sess.viewer.respondStatus(pr, status)
	}
}
