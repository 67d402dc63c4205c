package front

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds a front's Prometheus metrics. Each label has a bounded set of values.
type metrics struct {
	requests, sessionRequests, answers, setups, ends, probes, orphans, descriptions *prometheus.CounterVec

	malformed, unauthorized, failedHandshakes, redirects, rejectedConns, stray, shareReports, loadNotes, rungChanges, reloads prometheus.Counter

	sessions      prometheus.Gauge
	settleSeconds prometheus.Histogram
	viewerLoss    prometheus.Histogram
	answerSeconds *prometheus.HistogramVec
}

func newMetrics(reg prometheus.Registerer) (*metrics, error) {
	counterVec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rainhaven_" + name, Help: help}, labels)
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "rainhaven_" + name, Help: help})
	}
	c := &metrics{
		requests:         counterVec("requests_total", "Requests from viewers, by method.", "method"),
		sessionRequests:  counterVec("taken_total", "Session requests accepted, by service group.", "group"),
		answers:          counterVec("answers_total", "Final answers, by service group and answer.", "group", "answer"),
		setups:           counterVec("setups_total", "SETUPs sent to boxes, by outcome.", "outcome"),
		ends:             counterVec("ends_total", "Ended sessions that had been served, by cause.", "cause"),
		probes:           counterVec("probes_total", "Probes of boxes, by outcome.", "outcome"),
		orphans:          counterVec("orphans_total", "Sessions at boxes whose SETUP was cancelled or whose TEARDOWN was lost, by result.", "result"),
		descriptions:     counterVec("descriptions_total", "Descriptions requested from boxes, by outcome.", "outcome"),
		malformed:        counter("malformed_total", "Viewer connections closed because of malformed input."),
		unauthorized:     counter("unauthorized_total", "Viewer requests with wrong credentials."),
		redirects:        counter("redirects_total", "Redirects to another front sent to viewers."),
		failedHandshakes: counter("failed_handshakes_total", "TLS handshakes of viewers that failed or timed out."),
		rejectedConns:    counter("turned_away_total", "Viewer connections closed because too many were open."),
		stray:            counter("stray_total", "Frames and answers that belong to no session or request, and viewer frames over the rate limit."),
		shareReports:     counter("shorts_total", "Reports of short delivery by a box, and of its end."),
		loadNotes:        counter("load_notes_total", "Load notes passed on, at most one per box and interval."),
		reloads:          counter("renewals_total", "Settings reloads applied."),
		rungChanges:      counter("rung_changes_total", "Rung changes requested from boxes."),
		sessions:         prometheus.NewGauge(prometheus.GaugeOpts{Name: "rainhaven_sessions", Help: "Current sessions."}),
		settleSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "rainhaven_settle_seconds",
			Help: "Time to process one batch of events.", Buckets: prometheus.ExponentialBuckets(1e-6, 4, 10)}),
		viewerLoss: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "rainhaven_viewer_lost_share",
			Help: "Share of packets lost according to receiver reports of viewers.", Buckets: []float64{0, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5}}),
		answerSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "rainhaven_answer_seconds",
			Help: "Time from a session request to its final answer.", Buckets: prometheus.ExponentialBuckets(5e-4, 2, 14)},
			[]string{"group"}),
	}
	if reg == nil {
		return c, nil
	}
	for _, m := range []prometheus.Collector{c.requests, c.sessionRequests, c.answers, c.setups, c.ends, c.probes, c.orphans, c.descriptions,
		c.malformed, c.unauthorized, c.failedHandshakes, c.redirects, c.rejectedConns, c.stray, c.shareReports, c.loadNotes, c.rungChanges, c.reloads, c.sessions, c.settleSeconds, c.viewerLoss, c.answerSeconds} {
		if err := reg.Register(m); err != nil {
			return nil, fmt.Errorf("registering metrics: %w", err)
		}
	}
	return c, nil
}
