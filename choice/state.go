package choice

import (
	"cmp"
	"slices"
)

// group is a service group with the rates of its rungs.
type group struct {
	ServiceGroup
	rates      []float64 // kB a second, by rung
	floor, top ladderRung
	premium    int // 1 where its utility is above the lowest, else 0
}

// seatKey names what seats are counted by: the sessions of one title within one service group.
type seatKey struct {
	title string
	group int
}

// server is a listed server, as this front sees it.
type server struct {
	id           ServerID
	zone, cell   int
	state        Lifecycle
	startedAt    float64 // warm-up counts from here; 0 is long ago
	link, uplink *link

	gaps        gapStats // between signs of life
	lastHeardAt float64  // last sign of life
	fullUntil   float64

	ejected          bool    // gets no sessions until it answers probes
	ejectedAt        float64 // when
	ejectedForSetups bool    // for failed SETUPs only; a probe was wanted at once
	probesAnswered   int     // in a row, while ejected
	nextProbeAt      float64 // no probe before, while ejected
	probePending     bool
	probeWanted      bool

	slot       float64 // the last one with a SETUP to the server
	slotSetups float64 // SETUPs sent in that slot
}

// session is a session from its request to its end.
type session struct {
	id                         SessID
	group                      *group
	seat                       seatKey
	startCell, cellCount       int
	bestRung                   ladderRung
	requestedAt, setupDeadline float64
	endsAt                     float64 // expected; 0 is not known

	holder      *server
	rateShare   float64    // share of its rate that it adds at its holder; below 1 where a stream is shared
	rung        ladderRung // as last set
	wantedRung  ladderRung
	setupWanted bool // Reconcile sends a SETUP to holder
	answer      answer

	tried         []*server // by earlier SETUPs
	setupsSent    int
	inFlight      bool // a SETUP is
	playing       bool
	mayHaveRun    bool    // an earlier SETUP may have run
	rungChangedAt float64 // when, or when the session was established

	awaitedProbe *server // placed once its probe ends
	probeAwaited bool    // it has waited for one
}

// answer is the final answer to a session's request; closed needs none.
type answer int

const unanswered, busy, failed, closed answer = 0, 1, 2, 3

func compareID(s *server, id ServerID) int { return cmp.Compare(s.id, id) }

// server returns the server with an id, nil where there is none.
func (f *Front) server(id ServerID) *server {
	if i, found := slices.BinarySearchFunc(f.servers, id, compareID); found {
		return f.servers[i]
	}
	return nil
}

// rungDemand is the rate of this front's sessions on a link at their wanted rungs: of all, or of premium groups only.
func (l *link) rungDemand(premium bool) (sum float64) {
	for _, s := range l.sessions {
		if !premium || s.group.premium == 1 {
			sum += s.rate(s.wantedRung)
		}
	}
	return sum
}

// rate is what a session adds to its holder's link at a rung.
func (s *session) rate(rung ladderRung) float64 { return s.rateShare * s.group.rates[rung] }

// titleHash hashes a title and a server (FNV-1a); all fronts get the same number.
func titleHash(title string, id ServerID) uint32 {
	h := uint32(2166136261)
	for i := range len(title) {
		h = (h ^ uint32(title[i])) * 16777619
	}
	for i := range 4 {
		h = (h ^ uint32(id)>>(8*i)&0xff) * 16777619
	}
	return h ^ h>>15
}

// heaviest is the playing session with no change pending that has the largest weight, nil where none is above 0.
func (l *link) heaviest(weigh func(s *session) float64) (best *session) {
	maxWeight := 0.0
	for _, s := range l.sessions {
		if w := weigh(s); s.playing && s.wantedRung == s.rung && w > maxWeight {
			best, maxWeight = s, w
		}
	}
	return best
}

// random is the next number in [0, 1) of a multiply-with-carry generator.
func (f *Front) random() float64 {
	f.rngState = 4294957665*(f.rngState&0xffffffff) + f.rngState>>32
	return float64(uint32(f.rngState)) / (1 << 32)
}

// attach adds a session to a server's link and uplink and occupies its seat.
func (f *Front) attach(s *session, sv *server) {
	f.smoothDemand(sv.link)
	f.smoothDemand(sv.uplink)
	s.holder = sv
	sv.link.changed, sv.uplink.changed = true, true
	sv.link.sessions = append(sv.link.sessions, s)
	sv.uplink.sessions = append(sv.uplink.sessions, s)
	f.seatsTaken[s.seat]++
}

// detach undoes attach, if the session has a holder.
func (f *Front) detach(s *session) {
	if s.holder == nil {
		return
	}
	for _, l := range [2]*link{s.holder.link, s.holder.uplink} {
		f.smoothDemand(l)
		l.changed = true
		l.sessions = slices.DeleteFunc(l.sessions, func(o *session) bool { return o == s })
	}
	if f.seatsTaken[s.seat]--; f.seatsTaken[s.seat] <= 0 {
		delete(f.seatsTaken, s.seat)
	}
	s.holder = nil
}

// Snapshot is the state that a front keeps across reloads and restarts. Instants are of the clock of SetTime.
// It is stored and exchanged as JSON, so the tags must stay as they are.
type Snapshot struct {
	FirstSetups    []float64        `json:"Taken"`   // instants of first SETUPs within the retry window
	Retries        []float64        `json:"Further"` // instants of retries within the retry window
	Servers        []ServerSnapshot `json:"Servers"`
	Uplinks        []LinkSnapshot   `json:"Uplinks"` // by rack
	MeanLoad       [2]float64       `json:"Usual"`   // of links and of uplinks; 0 is none yet
	MeanLoadDemand float64          `json:"UsualAt"` // own demand, with eight sessions more, over the reports behind MeanLoad
	RefilledAt     float64          `json:"Settled"` // when the sessions that a restart ended had come back
}

// ServerSnapshot is what was learned of one server.
type ServerSnapshot struct {
	ID           ServerID     `json:"ID"`
	StartedAt    float64      `json:"Born"` // warm-up counts from here; 0 is long ago
	Slot         float64      `json:"Slot"` // the last one with a SETUP to the server; below 0 is not known
	SlotSetups   float64      `json:"Used"` // SETUPs sent in that slot
	Ejected      bool         `json:"Aside"`
	FullUntil    float64      `json:"Full"`
	MeanGap      float64      `json:"Gap"`   // seconds between signs of life; 0 is not known
	GapDeviation float64      `json:"Dev"`   // mean deviation of the gaps in seconds; 0 is not known
	LastHeardAt  float64      `json:"Heard"` // last sign of life
	Link         LinkSnapshot `json:"Link"`
}

// LinkSnapshot is what was learned of one link. Rates are kB a second.
type LinkSnapshot struct {
	NominalCapacity float64 `json:"Told"`   // from Config
	Capacity        float64 `json:"Size"`   // as own sessions show it
	OtherDemand     float64 `json:"Rest"`   // rates of other fronts' sessions at the last reading
	ReadAt          float64 `json:"Read"`   // when; 0 is never
	OwnDemand       float64 `json:"Top"`    // of all own sessions at that reading, with eight sessions more
	ReportedLoad    float64 `json:"Load"`   // as a server last reported it
	ReportedAt      float64 `json:"Seen"`   // when
	ShortfallDemand float64 `json:"Lift"`   // demand is at least this after a short-delivery note
	ShortfallAt     float64 `json:"Lifted"` // when that note came
}

func (l *link) snapshot() LinkSnapshot {
	return LinkSnapshot{l.nominal, l.capacity, l.otherDemand, l.readAt, l.ownDemandAtReading, l.reportedLoad, l.reportedAt,
		l.shortfallDemand, l.shortfallAt}
}

// restore loads what an earlier front learned. Capacity is scaled to the present nominal capacity.
func (l *link) restore(saved LinkSnapshot) {
	if saved.NominalCapacity > 0 {
		l.capacity = l.nominal * saved.Capacity / saved.NominalCapacity
	}
	l.otherDemand, l.readAt, l.ownDemandAtReading, l.reportedLoad, l.reportedAt, l.shortfallDemand, l.shortfallAt =
		saved.OtherDemand, saved.ReadAt, saved.OwnDemand, saved.ReportedLoad, saved.ReportedAt, saved.ShortfallDemand,
		saved.ShortfallAt
}

// Snapshot returns what the front has learned.
func (f *Front) Snapshot() Snapshot {
	snapshot := Snapshot{FirstSetups: slices.Clone(f.firstSetups), Retries: slices.Clone(f.retries),
		MeanLoad: f.meanLoad, MeanLoadDemand: f.meanLoadDemand, RefilledAt: f.refilledAt}
	for _, s := range f.servers {
		snapshot.Servers = append(snapshot.Servers, ServerSnapshot{s.id, s.startedAt, s.slot, s.slotSetups, s.ejected, s.fullUntil,
			s.gaps.mean, s.gaps.deviation, s.lastHeardAt, s.link.snapshot()})
	}
	for _, l := range f.uplinks {
		snapshot.Uplinks = append(snapshot.Uplinks, l.snapshot())
	}
	return snapshot
}

// Restore loads a snapshot. It must be called after the first UpdateServers and before any session. Servers that are not
// listed are skipped.
func (f *Front) Restore(snapshot Snapshot) {
	f.firstSetups, f.retries = slices.Clone(snapshot.FirstSetups), slices.Clone(snapshot.Retries)
	f.meanLoad, f.meanLoadDemand, f.refilledAt = snapshot.MeanLoad, snapshot.MeanLoadDemand, cmp.Or(snapshot.RefilledAt, f.refilledAt)
	for _, saved := range snapshot.Servers {
		s := f.server(saved.ID)
		if s == nil {
			continue
		}
		if saved.Slot >= 0 {
			s.slot, s.slotSetups = saved.Slot, saved.SlotSetups
		}
		if s.gaps = (gapStats{saved.MeanGap, saved.GapDeviation}); s.startedAt > saved.StartedAt {
			continue // it has restarted since
		}
		s.startedAt, s.lastHeardAt, s.fullUntil = saved.StartedAt, saved.LastHeardAt, saved.FullUntil
		s.link.restore(saved.Link)
		if saved.Ejected && f.probesAllowed { // only probes reinstate it
			f.eject(s, false)
		}
	}
	for i, saved := range snapshot.Uplinks[:min(len(snapshot.Uplinks), len(f.uplinks))] {
		f.uplinks[i].restore(saved)
	}
}

// SessionState is the state that decisions on a session depend on now, for operators who ask for an explanation.
type SessionState struct {
	SetupsSent   int
	SeatsTaken   bool // all seats of its title are taken
	RetriesSpent bool // the retry budget allows no retry
	MayHaveRun   bool // an earlier SETUP may have run
	Holders      []HolderState
}

// HolderState is how a front sees one holder of a session's title.
type HolderState struct {
	Server         ServerID
	State          Lifecycle
	Ejected        bool    // gets no sessions until it answers probes
	Full           bool    // answered so within the last second
	NoSlot         bool    // cold, and the slot is another front's or used up
	Tried          bool    // by this session already
	Headroom       float64 // kB a second left under the target on the tighter of link and uplink
	LinkPressure   float64 // demand over target
	UplinkPressure float64
}

// Explain returns how the front sees a session and the holders of its title now; ok is false where there is no such
// session.
func (f *Front) Explain(id SessID) (state SessionState, ok bool) {
	s := f.sessions[id]
	if s == nil {
		return state, false
	}
	state = SessionState{SetupsSent: s.setupsSent, SeatsTaken: f.noSeatLeft(s),
		RetriesSpent: !f.retryAllowed(), MayHaveRun: s.mayHaveRun}
	for _, sv := range f.servers {
		if (sv.cell-s.startCell+f.cells)%f.cells >= s.cellCount {
			continue
		}
		_, onLink := f.pressure(sv.link, sv, s, 0)
		_, onUplink := f.pressure(sv.uplink, sv, s, 0)
		state.Holders = append(state.Holders, HolderState{sv.id, sv.state, sv.ejected, f.now < sv.fullUntil, !f.mayReceiveSetup(sv),
			slices.Contains(s.tried, sv), f.headroom(sv), onLink, onUplink})
	}
	return state, true
}

// ServerEstimate is what a front counts at one server, to be compared with what the server does.
type ServerEstimate struct {
	Server   ServerID
	Sessions int     // SETUPs in flight and sessions there
	Demand   float64 // kB a second of own sessions at their wanted rungs
	Load     float64 // of its link, other fronts' demand included
	Ejected  bool
}

// ServerEstimates returns what the front counts at each server, by id.
func (f *Front) ServerEstimates() (list []ServerEstimate) {
	for _, s := range f.servers {
		demand := s.link.rungDemand(false)
		list = append(list, ServerEstimate{s.id, len(s.link.sessions), demand,
			(demand + f.otherDemand(s.link)) / max(s.link.capacity, 1), s.ejected})
	}
	return list
}
