package day

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rainhaven/internal/lab/witness"
)

// Report is what a day came to.
type Report struct {
	Seed     uint64          `json:"seed"`
	Length   float64         `json:"length_s"`
	Viewers  int             `json:"viewers"`
	Groups   []GroupReport   `json:"groups"`
	Boxes    []BoxReport     `json:"boxes"`
	Worst    float64         `json:"worst_frame_gap_s"`
	Lost     int             `json:"packets_lost"`
	Jumps    int             `json:"timestamp_jumps"`
	Rungs    int             `json:"rung_changes"`
	Verdict  witness.Verdict `json:"verdict"`
	Sabotage Sabotage        `json:"sabotage,omitempty"`
	Left     int             `json:"sessions_left_at_boxes"` // once all was over and a while had passed
}

// GroupReport is what a service group's viewers got.
type GroupReport struct {
	Name    string  `json:"name"`
	Viewers int     `json:"viewers"`
	Served  int     `json:"served"`       // by any of their tries
	First   int     `json:"served_first"` // by the first
	Start50 float64 `json:"start_p50_s"`  // from SETUP to the first frame
	Start99 float64 `json:"start_p99_s"`
	Share   float64 `json:"delivered_share"` // mean of those that played
	Rung    float64 `json:"mean_rung"`
}

// BoxReport is what a box saw.
type BoxReport struct {
	ID     int   `json:"id"`
	Setups int64 `json:"setups"`
	Full   int64 `json:"full"`
	Frames int64 `json:"frames"`
	Fallen bool  `json:"fallen_over"`
}

func (r *run) report() *Report {
	rep := &Report{Seed: r.d.Seed, Length: r.d.Length, Viewers: len(r.seen), Sabotage: r.spoil, Verdict: r.wit.Judge(r.now())}
	for i, g := range r.d.Terms.Groups {
		gr := GroupReport{Name: g.Name}
		start := hdrhistogram.New(1, 60_000_000, 3)
		played := 0
		for _, o := range r.seen {
			if o.group != i {
				continue
			}
			gr.Viewers++
			if o.served {
				gr.Served++
			}
			if o.first {
				gr.First++
			}
			if s := o.seen; s.FirstFrameSeconds > 0 {
				start.RecordValue(int64(s.FirstFrameSeconds * 1e6))
				if s.PlayedSeconds > 0.5 {
					played++
					gr.Share += s.DeliveredShare()
					gr.Rung += float64(s.LastRung)
				}
			}
		}
		gr.Start50, gr.Start99 = float64(start.ValueAtQuantile(50))/1e6, float64(start.ValueAtQuantile(99))/1e6
		if played > 0 {
			gr.Share /= float64(played)
			gr.Rung /= float64(played)
		}
		rep.Groups = append(rep.Groups, gr)
	}
	for _, o := range r.seen {
		rep.Worst = max(rep.Worst, o.seen.MaxFrameGap)
		rep.Lost += o.seen.LostPackets
		rep.Jumps += o.seen.TimestampJumps
		rep.Rungs += o.seen.RungChanges
	}
	for _, s := range r.d.boxes {
		if b := r.boxes[s.id]; b != nil {
			c := b.Counts()
			rep.Left += c.Sessions
			rep.Boxes = append(rep.Boxes, BoxReport{ID: s.id, Setups: c.Setups, Full: c.FullReplies, Frames: c.Packets, Fallen: c.Overloaded})
		}
	}
	return rep
}

// Write prints the report; its last line is the witness's.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%d viewers in %.0f s, seed %d\n", r.Viewers, r.Length, r.Seed)
	fmt.Fprintf(w, "%-16s %8s %8s %8s %10s %10s %8s %6s\n", "service group", "viewers", "served", "at once", "start p50", "start p99", "share", "rung")
	for _, g := range r.Groups {
		fmt.Fprintf(w, "%-16s %8d %8d %8d %9.3fs %9.3fs %8.3f %6.2f\n", g.Name, g.Viewers, g.Served, g.First, g.Start50, g.Start99, g.Share, g.Rung)
	}
	fmt.Fprintf(w, "boxes:")
	for _, b := range r.Boxes {
		fmt.Fprintf(w, " %d:%d", b.ID, b.Setups)
		if b.Full > 0 {
			fmt.Fprintf(w, "(%d full)", b.Full)
		}
		if b.Fallen {
			fmt.Fprint(w, "(FALLEN OVER)")
		}
	}
	v := r.Verdict
	fmt.Fprintf(w, " SETUPs\nrung changes %d, packets lost %d, timestamp jumps %d, worst gap between frames %.2f s\n", r.Rungs, r.Lost, r.Jumps, r.Worst)
	fmt.Fprintf(w, "busy-replied %d, torn down %d, given up by viewers %d, held by killed fronts %d, further SETUPs %d, sessions left at boxes %d\n",
		v.Busy, v.TornDown, v.GivenUp, v.Killed, v.Further, r.Left)
	for _, n := range v.Notes {
		fmt.Fprintln(w, "broken:", n)
	}
	fmt.Fprintln(w, v)
}
