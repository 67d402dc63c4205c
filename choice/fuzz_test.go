package choice

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"testing"
)

// input hands out the bytes of a fuzzer's input as numbers; zeros after their end.
type input struct{ bytes []byte }

func (in *input) byte() byte {
	if len(in.bytes) == 0 {
		return 0
	}
	b := in.bytes[0]
	in.bytes = in.bytes[1:]
	return b
}

// number returns a small number, at times negative or far too large.
func (in *input) number() int {
	switch b := in.byte(); {
	case b < 0xe0:
		return int(b % 8)
	case b < 0xf0:
		return -int(b % 8)
	default:
		return int(b) << 20
	}
}

// float returns a number from 0 to 4, at times one of any bits.
func (in *input) float() float64 {
	if b := in.byte(); b < 0xe0 {
		return float64(b) / 56
	}
	var bits [8]byte
	for i := range bits {
		bits[i] = in.byte()
	}
	return math.Float64frombits(binary.LittleEndian.Uint64(bits[:]))
}

// fuzzActions checks what the module asks for.
type fuzzActions struct {
	t     *testing.T
	rungs int
}

func (a *fuzzActions) SetRung(id SessID, rung int) {
	if rung < 0 || rung >= a.rungs {
		a.t.Fatalf("%s: rung %d of a ladder of %d", id, rung, a.rungs)
	}
}

func (a *fuzzActions) Setup(id SessID, _ ServerID, timeout float64) {
	if math.IsNaN(timeout) {
		a.t.Fatalf("%s: a SETUP without a time limit", id)
	}
}
func (*fuzzActions) BusyReply(SessID, float64) {}
func (*fuzzActions) FailureReply(SessID)       {}
func (*fuzzActions) Probe(ServerID)            {}
func (*fuzzActions) SendMessage(int, []byte)   {}
func (*fuzzActions) SetTimer(float64)          {}

// fuzzConfig returns valid settings with a ladder of 1 to 4 rungs.
func fuzzConfig(in *input) Config {
	c := Config{Seed: uint64(in.byte()), Fronts: 1 + int(in.byte()%4), Cells: 4, Racks: 2, FleetLinkCapacity: 40000, MeanUplinkCapacity: 25000,
		MaxStreams: []float64{20}, NoteLag: 1, NoteInterval: 3, MaxSetups: 3, MaxRetryAfter: 1, Probes: in.byte()%2 == 0, PeerMessages: in.byte()%2 == 0,
		Reporting: ReportsInAnswers, WarmUp: 10, ColdShare: 0.3, OverloadFactor: 3, OverloadTime: 5, BaseRetries: 5, RetriesPerSession: 0.5, RetryWindow: 10}
	for i := range 1 + int(in.byte()%4) {
		c.Ladder = append(c.Ladder, 200*float64(i+1))
	}
	top := len(c.Ladder) - 1
	c.Groups = []ServiceGroup{{Utility: 3, Scale: 1.4, StartTarget: 1, Paid: true, Floor: int(in.byte()) % len(c.Ladder), Top: top, Seats: int(in.byte() % 4)},
		{Utility: 1, Scale: 1, StartTarget: 1, Top: top}}
	return c
}

// FuzzEvents sends the module any events that a program can send, among them some about settings that a reload has replaced, and
// requires that it asks for nothing that the settings in force don't know.
func FuzzEvents(f *testing.F) {
	f.Add([]byte{})
	// A session is handed over at rung 3, the settings are replaced by ones with a ladder of 1, and its rung is reported again.
	f.Add([]byte{1, 0, 0, 0, 3, 1, 0, 0, 0, 1, 1, 2, 0, 0, 0, 1, 3, 0, 0, 3, 9, 0, 0, 0, 0, 0, 0, 0, 3, 0, 3, 4, 0, 0, 112, 0, 8, 200})
	draws := rand.New(rand.NewPCG(48, 2))
	for range 500 {
		data := make([]byte, 50+draws.IntN(1500))
		for i := range data {
			data[i] = byte(draws.Uint32())
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		in := &input{data}
		config := fuzzConfig(in)
		actions := &fuzzActions{t, len(config.Ladder)}
		now := 1000.0
		front := New(now, config, actions)
		for range 400 {
			if len(in.bytes) == 0 {
				return
			}
			id, server := SessID(rune('a'+in.byte()%8)), ServerID(in.byte()%4)
			switch in.byte() % 12 {
			case 0:
				front.UpdateServers(in.byte()%2 == 0, []Listing{{ID: server, Cell: in.number(), Kind: in.number(), State: Lifecycle(in.byte() % 3), StartedAt: in.float()}})
			case 1:
				front.RequestSession(Request{ID: id, Group: in.number(), Title: "t", StartCell: in.number(), CellCount: in.number(), BestRung: in.number(),
					SetupDeadline: now + 3, Length: in.float()})
			case 2:
				front.AddHandedOver(Request{ID: id, Group: in.number(), Title: "t", CellCount: 4, BestRung: in.number()}, server)
			case 3:
				front.SetCurrentRung(id, in.number())
			case 4:
				front.LoadNote(id, server, in.float(), in.byte()%2 == 0)
			case 5:
				report := LoadReport{Link: in.float(), Uplink: in.float(), Capped: in.byte()%2 == 0}
				front.SetupEnded(id, server, Outcome(1+in.byte()%9), in.byte()%2 == 0, report)
			case 6:
				front.SessionEstablished(id)
			case 7:
				front.RequestClosed(id)
			case 8:
				now += float64(in.byte()) / 50
				front.SetTime(now)
				front.HandleTimer()
			case 9: // a reload
				snapshot := front.Snapshot()
				config = fuzzConfig(in)
				actions.rungs = len(config.Ladder)
				front = New(now, config, actions)
				front.UpdateServers(true, []Listing{{ID: 0, State: Ready}, {ID: 1, Cell: 1, State: Ready}, {ID: 2, Cell: 2, State: Draining}})
				front.Restore(snapshot)
			case 10:
				front.ShortDelivery(server, in.float())
			case 11:
				front.ProbeEnded(server, Outcome(1+in.byte()%9), LoadReport{Link: in.float(), Uplink: in.float()})
			}
			front.Reconcile()
		}
	})
}
