package front

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
)

// counts are a front's metrics. Each label has a bounded set of values.
type counts struct {
	requests, taken, answers, setups, ends, probes, orphans, descriptions *prometheus.CounterVec

	malformed, unauthorized, handshakes, redirects, turnedAway, stray, shorts, notes, rungs, renewals prometheus.Counter

	sessions prometheus.Gauge
	settle   prometheus.Histogram
	lost     prometheus.Histogram
	answerIn *prometheus.HistogramVec
}

func newCounts(reg prometheus.Registerer) (*counts, error) {
	vec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rainhaven_" + name, Help: help}, labels)
	}
	one := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "rainhaven_" + name, Help: help})
	}
	c := &counts{
		requests:     vec("requests_total", "Requests of viewers, by method.", "method"),
		taken:        vec("taken_total", "Requests for a session taken, by service group.", "group"),
		answers:      vec("answers_total", "Final answers, by service group and answer.", "group", "answer"),
		setups:       vec("setups_total", "SETUPs to boxes, by how they ended.", "outcome"),
		ends:         vec("ends_total", "Ends of sessions that had been served, by cause.", "cause"),
		probes:       vec("probes_total", "Probes of boxes, by how they ended.", "outcome"),
		orphans:      vec("orphans_total", "Sessions that boxes set up too late, by what became of them.", "result"),
		descriptions: vec("descriptions_total", "Descriptions asked of boxes, by what came of it.", "outcome"),
		malformed:    one("malformed_total", "Connections of viewers ended for malformed input."),
		unauthorized: one("unauthorized_total", "Requests of viewers with wrong credentials."),
		redirects:    one("redirects_total", "Viewers asked to go on at another front."),
		handshakes:   one("failed_handshakes_total", "TLS handshakes of viewers that failed or took too long."),
		turnedAway:   one("turned_away_total", "Connections of viewers closed because too many were open."),
		stray:        one("stray_total", "Frames and answers that belong to nothing."),
		shorts:       one("shorts_total", "Shares under the full rate told to the module, and their ends."),
		notes:        one("load_notes_total", "Load notes told to the module."),
		renewals:     one("renewals_total", "New settings taken in service."),
		rungs:        one("rung_changes_total", "Changes of rung asked of boxes."),
		sessions:     prometheus.NewGauge(prometheus.GaugeOpts{Name: "rainhaven_sessions", Help: "Sessions held."}),
		settle: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "rainhaven_settle_seconds",
			Help: "Time to settle one batch of events.", Buckets: prometheus.ExponentialBuckets(1e-6, 4, 10)}),
		lost: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "rainhaven_viewer_lost_share",
			Help: "Share of packets lost, by viewers' receiver reports.", Buckets: []float64{0, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5}}),
		answerIn: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "rainhaven_answer_seconds",
			Help: "Time from a request for a session to its final answer.", Buckets: prometheus.ExponentialBuckets(5e-4, 2, 14)},
			[]string{"group"}),
	}
	if reg == nil {
		return c, nil
	}
	for _, m := range []prometheus.Collector{c.requests, c.taken, c.answers, c.setups, c.ends, c.probes, c.orphans, c.descriptions,
		c.malformed, c.unauthorized, c.handshakes, c.redirects, c.turnedAway, c.stray, c.shorts, c.notes, c.rungs, c.renewals, c.sessions, c.settle, c.lost, c.answerIn} {
		if err := reg.Register(m); err != nil {
			return nil, fmt.Errorf("registering metrics: %w", err)
		}
	}
	return c, nil
}
