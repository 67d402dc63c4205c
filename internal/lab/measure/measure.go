// Package measure compares viewers that connect through a front with viewers that connect to the boxes directly, alternating
// between the two in one run: the latency that a front adds to a SETUP, the throughput of its relay, and the memory that
// it needs per session. The front runs in its own process; boxes and viewers run in the measuring process.
package measure

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rainhaven/internal/lab/box"
	"rainhaven/internal/rtsp"
)

// Build is a rainhaven program to run as front, and the conditions to measure it under.
type Build struct {
	Name, Program string
	TLS           bool // viewers connect over TLS
	Reloads       bool // its settings are reloaded continually while SETUPs are timed
}

// Options controls what is measured.
type Options struct {
	Builds          []Build // measured alternately
	Sessions        []int   // numbers of playing sessions to measure under
	Setups          int     // SETUPs to time, direct and through the front each
	Reps            int     // repetitions of the transfer, direct and through the front alternately
	TransferSeconds float64 // length of a transfer
}

// Row holds the results for one build and one number of playing sessions. The JSON names are part of the output of
// `rainhaven measure --json`.
type Row struct {
	Build               string  `json:"Build"`
	Sessions            int     `json:"Sessions"`
	DirectP50           float64 `json:"DirectP50"` // ms from SETUP to its reply, directly at a box
	DirectP99           float64 `json:"DirectP99"`
	FrontP50            float64 `json:"FrontP50"` // ms from SETUP to its reply, through the front
	FrontP99            float64 `json:"FrontP99"`
	FrontP999           float64 `json:"FrontP999"`
	HeapBytesPerSession float64 `json:"HeapPerSession"` // growth of the front's heap and stacks
	RSSBytesPerSession  float64 `json:"RSSPerSession"`
	AllocsPerSetup      float64 `json:"Allocations"` // heap allocations from connection to TEARDOWN, including relayed media
	MeanSettleMicros    float64 `json:"SettleMean"`  // mean time to process a batch of events, including the module's decisions
	DirectMBps          float64 `json:"DirectMB"`    // transfer at full speed, MB/s; this and the next two are medians over repetitions
	FrontMBps           float64 `json:"FrontMB"`
	ThroughputRatio     float64 `json:"Ratio"` // front to direct
	MinThroughputRatio  float64 `json:"RatioLow"`
	MaxThroughputRatio  float64 `json:"RatioHigh"`
	SettingsReloads     float64 `json:"Renewals"` // reloads of settings during the measurement
	FramesPerSecond     float64 `json:"Frames"`   // received by all playing sessions together
}

// fleetSettings returns the settings that every measured front has, for a number of boxes.
func fleetSettings(boxes int) string { return fmt.Sprintf(fleetSettingsFormat, boxes, boxes) }

const fleetSettingsFormat = `
kind(name = "large", places = 5000)
ladder(rates = [100, 200])
group(name = "clips", start_target = 2, setup_timeout = 5)
fleet(links = 1000000000, uplink = 1000000000, cells = %d, racks = 1)
setups(window = 0)
title(name = "vents", span = %d)
limits(connections = 20000, sessions = 20000, box_connections = 5000)
`

// frontProcess is a running front.
type frontProcess struct {
	cmd        *exec.Cmd
	endpoint   // of its viewers
	admin, dir string
	settings   string
}

// endpoint is an address that viewers connect to.
type endpoint struct {
	address string
	tls     *tls.Config // nil means plain TCP
}

// startFront starts a front for the given boxes and waits until it serves.
func startFront(ctx context.Context, b Build, boxes []string) (*frontProcess, error) {
	dir, err := os.MkdirTemp("", "rainhaven-measure")
	if err != nil {
		return nil, err
	}
	f := &frontProcess{dir: dir}
	tlsSettings := ""
	if b.TLS {
		if f.tls, err = selfSigned(dir); err != nil {
			return nil, err
		}
		tlsSettings = fmt.Sprintf(`, tls_listen = "127.0.0.1:0", cert = %q, key = %q`, filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"))
	}
	settings := `front(name = "measured", listen = "127.0.0.1:0", admin = "127.0.0.1:0"` + tlsSettings + `)` + fleetSettings(len(boxes))
	for i, address := range boxes {
		settings += fmt.Sprintf("box(id = %d, cell = %d, address = %q)\n", i+1, i, address)
	}
	file := filepath.Join(dir, "front.star")
	f.settings = settings
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	f.cmd = exec.CommandContext(ctx, b.Program, "front", "--config", file, "--drain", "1s")
	f.cmd.Cancel = func() error { return f.cmd.Process.Signal(syscall.SIGTERM) }
	f.cmd.WaitDelay = 10 * time.Second
	log, err := f.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := f.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting a front: %w", err)
	}
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		var l struct{ Msg, Listen, TLS, Admin string }
		if json.Unmarshal(lines.Bytes(), &l) == nil && l.Msg == "serving" {
			f.address, f.admin = l.Listen, l.Admin
			if b.TLS {
				f.address = l.TLS
			}
			go io.Copy(io.Discard, log)
			return f, nil
		}
	}
	f.stop()
	return nil, fmt.Errorf("the front's log ended without the message \"serving\"")
}

// reload makes the front reload settings that need a new module, every 1.1 s until the context is done.
func (f *frontProcess) reload(ctx context.Context) {
	for n := 1; sleep(ctx, 1100*time.Millisecond) == nil; n++ {
		s := strings.Replace(f.settings, "setups(window = 0)", fmt.Sprintf("setups(window = 0, advice = %d)", 1+n%2), 1)
		if os.WriteFile(filepath.Join(f.dir, "front.star"), []byte(s), 0o600) != nil {
			return
		}
		f.cmd.Process.Signal(syscall.SIGHUP)
	}
}

// stop terminates the front and removes its folder.
func (f *frontProcess) stop() {
	f.cmd.Process.Signal(syscall.SIGTERM)
	f.cmd.Wait()
	os.RemoveAll(f.dir)
}

// metric reads the value of a metric from the front.
func (f *frontProcess) metric(name string) (float64, error) {
	r, err := http.Get("http://" + f.admin + "/metrics")
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	s := bufio.NewScanner(r.Body)
	for s.Scan() {
		if v, ok := strings.CutPrefix(s.Text(), name+" "); ok {
			return strconv.ParseFloat(v, 64)
		}
	}
	return 0, fmt.Errorf("the front exports no metric %s", name)
}

// viewer is an RTSP client.
type viewer struct {
	conn    *rtsp.Conn
	url     string
	session string
	cseq    int
}

// connect opens a connection, including the TLS handshake.
func (e endpoint) connect() (*viewer, error) {
	n, err := net.DialTimeout("tcp", e.address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	if e.tls != nil {
		t := tls.Client(n, e.tls)
		t.SetDeadline(time.Now().Add(10 * time.Second))
		if err := t.Handshake(); err != nil {
			n.Close()
			return nil, err
		}
		t.SetDeadline(time.Time{})
		n = t
	}
	return &viewer{conn: rtsp.NewConn(n, rtsp.Limits{}), url: "rtsp://" + e.address + "/clips/vents"}, nil
}

// request sends a request with pairs of header names and values and waits for a reply of 200.
func (v *viewer) request(method string, headers ...string) error {
	v.cseq++
	m := rtsp.NewRequest(method, v.url).WithHeader("CSeq", strconv.Itoa(v.cseq))
	if v.session != "" {
		m.WithHeader("Session", v.session)
	}
	for i := 0; i < len(headers); i += 2 {
		m.WithHeader(headers[i], headers[i+1])
	}
	r, err := v.conn.RoundTrip(m, 10*time.Second, nil)
	if err != nil {
		return err
	}
	if r.Status != rtsp.OK {
		return fmt.Errorf("%s: %d %s", method, r.Status, r.Reason)
	}
	if s := r.Session(); s != "" {
		v.session = s
	}
	return nil
}

func (v *viewer) setup() error {
	return v.request(rtsp.Setup, "Transport", "RTP/AVP/TCP;unicast;interleaved=0-1", "Rung", "1")
}

// setupLatency returns the time of one SETUP on a new connection.
func (e endpoint) setupLatency() (time.Duration, error) {
	v, err := e.connect()
	if err != nil {
		return 0, err
	}
	defer v.conn.Close()
	sentAt := time.Now()
	if err := v.setup(); err != nil {
		return 0, err
	}
	d := time.Since(sentAt)
	return d, v.request(rtsp.TearDown)
}

// Run measures all builds under all numbers of sessions. report, which may be nil, gets each row as it is completed.
func Run(ctx context.Context, o Options, report func(Row)) ([]Row, error) {
	startedAt := time.Now()
	config := &box.Config{Ladder: []float64{100, 200}, MaxSessions: 5000, TitleLength: func(string) float64 { return 0 }, ReportInterval: 0.5, NoteInterval: 3,
		FPS: 25, PayloadScale: 1, Now: func() float64 { return time.Since(startedAt).Seconds() }}
	rack := box.NewRack(1e9)
	var addresses []string
	for i := range 4 {
		b, err := box.Start(config, i+1, "", 1e9, rack, false)
		if err != nil {
			return nil, err
		}
		defer b.Close()
		addresses = append(addresses, b.Address)
	}
	var rows []Row
	for _, n := range o.Sessions {
		for _, b := range o.Builds {
			row, err := measureRow(ctx, o, b, n, addresses)
			if err != nil {
				return rows, fmt.Errorf("%s under %d sessions: %w", b.Name, n, err)
			}
			rows = append(rows, row)
			if report != nil {
				report(row)
			}
		}
	}
	return rows, nil
}

// measureRow measures one build with n sessions playing.
func measureRow(ctx context.Context, o Options, b Build, n int, boxes []string) (Row, error) {
	row := Row{Build: b.Name, Sessions: n}
	f, err := startFront(ctx, b, boxes)
	if err != nil {
		return row, err
	}
	defer f.stop()
	heap0, err := f.metric("go_memstats_heap_inuse_bytes")
	if err != nil {
		return row, err
	}
	stack0, _ := f.metric("go_memstats_stack_inuse_bytes")
	rss0, _ := f.metric("process_resident_memory_bytes")
	var frames atomic.Int64
	var readers sync.WaitGroup
	var playing []*viewer
	defer func() {
		for _, v := range playing {
			v.conn.Close()
		}
		readers.Wait()
	}()
	for range n {
		v, err := f.connect()
		if err != nil {
			return row, err
		}
		playing = append(playing, v)
		if err := v.setup(); err != nil {
			return row, err
		}
		if err := v.request(rtsp.Play); err != nil {
			return row, err
		}
		readers.Go(func() {
			for {
				m, _, err := v.conn.Next()
				if err != nil {
					return
				}
				if m == nil {
					frames.Add(1)
				}
			}
		})
	}
	if err := sleep(ctx, time.Second); err != nil {
		return row, err
	}
	count0, _ := f.metric("rainhaven_settle_seconds_count")
	sum0, _ := f.metric("rainhaven_settle_seconds_sum")
	mallocs0, _ := f.metric("go_memstats_mallocs_total")
	if b.Reloads {
		reloadCtx, stopReloads := context.WithCancel(ctx)
		readers.Go(func() { f.reload(reloadCtx) })
		defer stopReloads()
	}
	directLatencies, frontLatencies := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	startedAt, framesBefore := time.Now(), frames.Load()
	for i := range o.Setups {
		for _, path := range []struct {
			endpoint
			latencies *hdrhistogram.Histogram
		}{{endpoint{boxes[i%len(boxes)], nil}, directLatencies}, {f.endpoint, frontLatencies}} {
			d, err := path.setupLatency()
			if err != nil {
				return row, err
			}
			path.latencies.RecordValue(d.Microseconds())
		}
		if ctx.Err() != nil {
			return row, ctx.Err()
		}
	}
	row.FramesPerSecond = float64(frames.Load()-framesBefore) / time.Since(startedAt).Seconds()
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	row.DirectP50, row.DirectP99 = ms(directLatencies, 50), ms(directLatencies, 99)
	row.FrontP50, row.FrontP99, row.FrontP999 = ms(frontLatencies, 50), ms(frontLatencies, 99), ms(frontLatencies, 99.9)
	count, _ := f.metric("rainhaven_settle_seconds_count")
	sum, _ := f.metric("rainhaven_settle_seconds_sum")
	if count > count0 {
		row.MeanSettleMicros = (sum - sum0) / (count - count0) * 1e6
	}
	mallocs, _ := f.metric("go_memstats_mallocs_total")
	row.AllocsPerSetup = (mallocs - mallocs0) / float64(o.Setups)
	row.SettingsReloads, _ = f.metric("rainhaven_renewals_total")
	heap, _ := f.metric("go_memstats_heap_inuse_bytes")
	stack, _ := f.metric("go_memstats_stack_inuse_bytes")
	rss, _ := f.metric("process_resident_memory_bytes")
	row.HeapBytesPerSession = (heap + stack - heap0 - stack0) / float64(n)
	row.RSSBytesPerSession = (rss - rss0) / float64(n)
	return row, o.measureTransfers(ctx, &row, b, min(n, 100))
}

// measureTransfers compares the throughput at full speed, on several connections at once, and fills it into the row.
func (o Options) measureTransfers(ctx context.Context, row *Row, build Build, connections int) error {
	src, err := listenFullSpeed()
	if err != nil {
		return err
	}
	defer src.close()
	// Each transfer uses a new front: at full speed, a front takes sessions that are slowed down by a busy machine for an
	// overloaded link, and for the next half minute it rejects new sessions, as it should.
	transferViaFront := func() (float64, error) {
		f, err := startFront(ctx, build, []string{src.address})
		if err != nil {
			return 0, err
		}
		defer f.stop()
		return transfer(ctx, f.endpoint, connections, o.TransferSeconds)
	}
	var directRates, frontRates, ratios []float64
	for range o.Reps {
		directRate, err := transfer(ctx, endpoint{src.address, nil}, connections, o.TransferSeconds)
		if err != nil {
			return fmt.Errorf("direct: %w", err)
		}
		frontRate, err := transferViaFront()
		if err != nil {
			return fmt.Errorf("through the front: %w", err)
		}
		directRates, frontRates, ratios = append(directRates, directRate), append(frontRates, frontRate), append(ratios, frontRate/directRate)
	}
	if len(ratios) == 0 {
		return nil
	}
	slices.Sort(directRates)
	slices.Sort(frontRates)
	slices.Sort(ratios)
	row.DirectMBps, row.FrontMBps, row.ThroughputRatio = directRates[len(directRates)/2], frontRates[len(frontRates)/2], ratios[len(ratios)/2]
	row.MinThroughputRatio, row.MaxThroughputRatio = ratios[0], ratios[len(ratios)-1]
	return nil
}

// transfer returns the total rate in MB/s at which concurrent viewers receive media.
func transfer(ctx context.Context, target endpoint, connections int, seconds float64) (float64, error) {
	var viewers []*viewer
	defer func() {
		for _, v := range viewers {
			v.conn.Close()
		}
	}()
	for range connections {
		v, err := target.connect()
		if err != nil {
			return 0, err
		}
		viewers = append(viewers, v)
		// At full speed a box may have been ejected for a late reply; probes reinstate it.
		for n := 0; ; n++ {
			if err = v.setup(); err == nil || n == 20 {
				break
			}
			if err := sleep(ctx, 250*time.Millisecond); err != nil {
				return 0, err
			}
		}
		if err != nil {
			return 0, err
		}
	}
	var received atomic.Int64
	var readers sync.WaitGroup
	for _, v := range viewers {
		readers.Go(func() {
			if v.request(rtsp.Play) != nil {
				return
			}
			for {
				m, f, err := v.conn.Next()
				if err != nil {
					return
				}
				if m == nil {
					received.Add(int64(len(f.Raw)))
				}
			}
		})
	}
	defer readers.Wait()
	if err := sleep(ctx, 300*time.Millisecond); err != nil {
		return 0, err
	}
	bytesBefore, startedAt := received.Load(), time.Now()
	err := sleep(ctx, time.Duration(seconds*1e9))
	rate := float64(received.Load()-bytesBefore) / time.Since(startedAt).Seconds() / 1e6
	for _, v := range viewers {
		v.conn.Close()
	}
	return rate, err
}

// sleep waits for d or until the context is done.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WriteTable prints rows as a table.
func WriteTable(w io.Writer, rows []Row) {
	fmt.Fprintf(w, "%-10s %7s %10s %10s %9s %9s %11s %9s %7s %9s %9s %8s %8s %17s\n", "build", "playing", "direct p50", "direct p99", "front p50",
		"front p99", "front p99.9", "allocs", "settle", "heap/sess", "rss/sess", "direct", "front", "front/direct")
	for _, r := range rows {
		fmt.Fprintf(w, "%-10s %7d %8.2fms %8.2fms %7.2fms %7.2fms %9.2fms %9.0f %5.1fus %7.1fkB %7.1fkB %4.0fMB/s %4.0fMB/s %5.2f (%.2f-%.2f)\n", r.Build,
			r.Sessions, r.DirectP50, r.DirectP99, r.FrontP50, r.FrontP99, r.FrontP999, r.AllocsPerSetup, r.MeanSettleMicros, r.HeapBytesPerSession/1024,
			r.RSSBytesPerSession/1024, r.DirectMBps, r.FrontMBps, r.ThroughputRatio, r.MinThroughputRatio, r.MaxThroughputRatio)
	}
}
