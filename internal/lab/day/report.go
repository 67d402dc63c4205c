package day

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rainhaven/internal/lab/witness"
)

// Report holds the results of a day.
type Report struct {
	Seed           uint64          `json:"seed"`
	LengthSeconds  float64         `json:"length_s"`
	Viewers        int             `json:"viewers"`
	Groups         []GroupReport   `json:"groups"`
	Boxes          []BoxReport     `json:"boxes"`
	WorstFrameGap  float64         `json:"worst_frame_gap_s"`
	PacketsLost    int             `json:"packets_lost"`
	TimestampJumps int             `json:"timestamp_jumps"`
	RungChanges    int             `json:"rung_changes"`
	Verdict        witness.Verdict `json:"verdict"`
	Sabotage       Sabotage        `json:"sabotage,omitempty"`
	SessionsLeft   int             `json:"sessions_left_at_boxes"` // after all viewers had left and the idle timeout had passed
}

// GroupReport summarizes what the viewers of a service group got.
type GroupReport struct {
	Name           string  `json:"name"`
	Viewers        int     `json:"viewers"`
	Served         int     `json:"served"`       // viewers served by any of their tries
	ServedFirst    int     `json:"served_first"` // by the first try
	StartP50       float64 `json:"start_p50_s"`  // from SETUP to the first frame
	StartP99       float64 `json:"start_p99_s"`
	DeliveredShare float64 `json:"delivered_share"` // mean over viewers that played more than half a second
	MeanRung       float64 `json:"mean_rung"`
}

// BoxReport holds the counts of a box.
type BoxReport struct {
	ID          int   `json:"id"`
	Setups      int64 `json:"setups"`
	FullReplies int64 `json:"full"`
	Frames      int64 `json:"frames"`
	Overloaded  bool  `json:"fallen_over"`
}

// report checks the rules and summarizes what viewers and boxes saw.
func (r *run) report() *Report {
	rep := &Report{Seed: r.day.Seed, LengthSeconds: r.day.Length, Viewers: len(r.outcomes), Sabotage: r.sabotage, Verdict: r.witness.Evaluate(r.now())}
	for i, g := range r.day.Config.Groups {
		gr := GroupReport{Name: g.Name}
		start := hdrhistogram.New(1, 60_000_000, 3)
		played := 0
		for _, o := range r.outcomes {
			if o.group != i {
				continue
			}
			gr.Viewers++
			if o.served {
				gr.Served++
			}
			if o.firstServed {
				gr.ServedFirst++
			}
			if s := o.result; s.FirstFrameSeconds > 0 {
				start.RecordValue(int64(s.FirstFrameSeconds * 1e6))
				if s.PlayedSeconds > 0.5 {
					played++
					gr.DeliveredShare += s.DeliveredShare()
					gr.MeanRung += float64(s.LastRung)
				}
			}
		}
		gr.StartP50, gr.StartP99 = float64(start.ValueAtQuantile(50))/1e6, float64(start.ValueAtQuantile(99))/1e6
		if played > 0 {
			gr.DeliveredShare /= float64(played)
			gr.MeanRung /= float64(played)
		}
		rep.Groups = append(rep.Groups, gr)
	}
	for _, o := range r.outcomes {
		rep.WorstFrameGap = max(rep.WorstFrameGap, o.result.MaxFrameGap)
		rep.PacketsLost += o.result.LostPackets
		rep.TimestampJumps += o.result.TimestampJumps
		rep.RungChanges += o.result.RungChanges
	}
	for _, s := range r.day.boxes {
		if b := r.boxes[s.id]; b != nil {
			c := b.Counts()
			rep.SessionsLeft += c.Sessions
			rep.Boxes = append(rep.Boxes, BoxReport{ID: s.id, Setups: c.Setups, FullReplies: c.FullReplies, Frames: c.Packets, Overloaded: c.Overloaded})
		}
	}
	return rep
}

// Write prints the report. Its last line is the verdict.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%d viewers in %.0f s, seed %d\n", r.Viewers, r.LengthSeconds, r.Seed)
	fmt.Fprintf(w, "%-16s %8s %8s %8s %10s %10s %8s %6s\n", "service group", "viewers", "served", "at once", "start p50", "start p99", "share", "rung")
	for _, g := range r.Groups {
		fmt.Fprintf(w, "%-16s %8d %8d %8d %9.3fs %9.3fs %8.3f %6.2f\n", g.Name, g.Viewers, g.Served, g.ServedFirst, g.StartP50, g.StartP99, g.DeliveredShare, g.MeanRung)
	}
	fmt.Fprintf(w, "boxes:")
	for _, b := range r.Boxes {
		fmt.Fprintf(w, " %d:%d", b.ID, b.Setups)
		if b.FullReplies > 0 {
			fmt.Fprintf(w, "(%d full)", b.FullReplies)
		}
		if b.Overloaded {
			fmt.Fprint(w, "(FALLEN OVER)")
		}
	}
	v := r.Verdict
	fmt.Fprintf(w, " SETUPs\nrung changes %d, packets lost %d, timestamp jumps %d, worst gap between frames %.2f s\n", r.RungChanges, r.PacketsLost, r.TimestampJumps, r.WorstFrameGap)
	fmt.Fprintf(w, "busy-replied %d, torn down %d, given up by viewers %d, held by killed fronts %d, further SETUPs %d, sessions left at boxes %d\n",
		v.Busy, v.Failed, v.Abandoned, v.HeldByKilled, v.Retries, r.SessionsLeft)
	for _, n := range v.Notes {
		fmt.Fprintln(w, "broken:", n)
	}
	fmt.Fprintln(w, v)
}
