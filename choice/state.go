// Types, look-ups and book-keeping of the module's state. Nothing is decided here.

package choice

import (
	"cmp"
	"slices"
)

type group struct {
	ServiceGroup
	rates   []float64
	premium int // 1 where its utility is above the lowest, else 0
}

type seatKey struct {
	title string
	group int
}

type server struct {
	id                        ServerID
	zone, cell                int
	state                     Lifecycle
	startedAt                 float64 // counts as cold from here; 0 is long ago
	link, uplink              *link
	gaps                      gapStats // between signs of life
	lastHeardAt               float64  // last sign of life
	ejected                   bool     // gets no sessions until it answers probes
	probesAnswered            int      // probes answered in a row while aside
	ejectedForSetups          bool     // it was set aside for SETUPs alone, and a probe went out at once
	probePending, probeWanted bool     // a probe is out, is wanted
	ejectedAt, nextProbeAt    float64  // set aside when; next probe while aside
	fullUntil                 float64  // full until
	slot, slotSetups          float64  // the slot it last had a SETUP in while cold, and how many
}

// session is a session from its request to its end.
type session struct {
	id                                SessID
	group                             *group
	seat                              seatKey
	startCell, cellCount, bestRung    int
	requestedAt, setupTimeout, endsAt float64 // ends is expected; 0 is not told
	rungChangedAt                     float64
	holder                            *server
	tried                             []*server
	setupsSent                        int  // SETUPs
	inFlight, playing, mayHaveRun     bool // a SETUP is out; it plays; an earlier SETUP may have run
	rung                              int  // in force
	wantedRung                        int
	setupWanted                       bool    // a SETUP to holder is wanted
	rateShare                         float64 // what it adds of its rate at its holder; below 1 where a stream is shared
	answer                            answer
	awaitedProbe                      *server // its probe is waited for
	probeAwaited                      bool    // it has waited
}

type answer int

const unanswered, busy, failed, closed answer = 0, 1, 2, 3

func compareID(s *server, id ServerID) int { return cmp.Compare(s.id, id) }

func (f *Front) server(id ServerID) *server {
	if i, found := slices.BinarySearchFunc(f.servers, id, compareID); found {
		return f.servers[i]
	}
	return nil
}

// rungDemand is what this front's sessions ask of a link at their wanted rungs: all, or the premium groups only.
func (l *link) rungDemand(premium bool) (sum float64) {
	for _, s := range l.sessions {
		if !premium || s.group.premium == 1 {
			sum += s.rate(s.wantedRung)
		}
	}
	return sum
}

// rate is what a session adds to its holder's link at a rung.
func (s *session) rate(rung int) float64 { return s.rateShare * s.group.rates[rung] }

// titleHash makes a number of a title and a server (FNV-1a), alike at all fronts.
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

// heaviest is the session on a link that weighs most, nil where none weighs more than 0.
func (l *link) heaviest(weigh func(s *session) float64) (best *session) {
	most := 0.0
	for _, s := range l.sessions {
		if w := weigh(s); s.playing && s.wantedRung == s.rung && w > most {
			best, most = s, w
		}
	}
	return best
}

// random is a multiply-with-carry generator's next number in [0, 1).
func (f *Front) random() float64 {
	f.rngState = 4294957665*(f.rngState&0xffffffff) + f.rngState>>32
	return float64(uint32(f.rngState)) / (1 << 32)
}

// attach puts a session on a server's link and uplink and takes its seat.
func (f *Front) attach(s *session, sv *server) {
	f.smoothDemand(sv.link)
	f.smoothDemand(sv.uplink)
	s.holder = sv
	sv.link.changed, sv.uplink.changed = true, true
	sv.link.sessions = append(sv.link.sessions, s)
	sv.uplink.sessions = append(sv.uplink.sessions, s)
	f.seatsTaken[s.seat]++
}

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

// Snapshot is what a front has learned and must know again under new terms or after a restart. Instants are At's.
type Snapshot struct {
	FirstSetups    []float64        `json:"Taken"`   // first and further SETUPs within the ration's window
	Retries        []float64        `json:"Further"` // first and further SETUPs within the ration's window
	Servers        []ServerSnapshot `json:"Servers"`
	Uplinks        []LinkSnapshot   `json:"Uplinks"` // by rack
	MeanLoad       [2]float64       `json:"Usual"`   // mean load of links and of uplinks; 0 is none yet
	MeanLoadDemand float64          `json:"UsualAt"` // what all own sessions asked meanwhile, and eight for chance
	RefilledAt     float64          `json:"Settled"` // when its own sessions had come back
}

// ServerSnapshot is what was learned of one server.
type ServerSnapshot struct {
	ID           ServerID     `json:"ID"`
	StartedAt    float64      `json:"Born"` // counts as cold from here; 0 is long ago
	Slot         float64      `json:"Slot"` // the slot it last had a SETUP in while cold, and how many; below 0 is not known
	SlotSetups   float64      `json:"Used"` // the slot it last had a SETUP in while cold, and how many; below 0 is not known
	Ejected      bool         `json:"Aside"`
	FullUntil    float64      `json:"Full"`  // full until
	MeanGap      float64      `json:"Gap"`   // between signs of life: mean and mean deviation in seconds; 0 is not known
	GapDeviation float64      `json:"Dev"`   // between signs of life: mean and mean deviation in seconds; 0 is not known
	LastHeardAt  float64      `json:"Heard"` // last sign of life
	Link         LinkSnapshot `json:"Link"`
}

// LinkSnapshot is what was learned of one link. Rates are kB a second.
type LinkSnapshot struct {
	NominalCapacity float64 `json:"Told"`   // capacity by the terms; as own sessions show it
	Capacity        float64 `json:"Size"`   // capacity by the terms; as own sessions show it
	OtherDemand     float64 `json:"Rest"`   // what other fronts asked at the last reading, and when
	ReadAt          float64 `json:"Read"`   // what other fronts asked at the last reading, and when
	OwnDemand       float64 `json:"Top"`    // what all own sessions asked at that reading, and eight for chance
	ReportedLoad    float64 `json:"Load"`   // what a server last said, and when
	ReportedAt      float64 `json:"Seen"`   // what a server last said, and when
	ShortfallDemand float64 `json:"Lift"`   // what short-delivery notes lift demand to, and when
	ShortfallAt     float64 `json:"Lifted"` // what short-delivery notes lift demand to, and when
}

func (l *link) snapshot() LinkSnapshot {
	return LinkSnapshot{l.nominal, l.capacity, l.otherDemand, l.readAt, l.ownDemandAtReading, l.reportedLoad, l.reportedAt, l.shortfallDemand, l.shortfallAt}
}

// restore takes a reading again; the size as a part of what is told now.
func (l *link) restore(r LinkSnapshot) {
	if r.NominalCapacity > 0 {
		l.capacity = l.nominal * r.Capacity / r.NominalCapacity
	}
	l.otherDemand, l.readAt, l.ownDemandAtReading, l.reportedLoad, l.reportedAt, l.shortfallDemand, l.shortfallAt = r.OtherDemand, r.ReadAt, r.OwnDemand, r.ReportedLoad, r.ReportedAt, r.ShortfallDemand, r.ShortfallAt
}

// Snapshot gives what the front has learned.
func (f *Front) Snapshot() Snapshot {
	m := Snapshot{FirstSetups: slices.Clone(f.firstSetups), Retries: slices.Clone(f.retries), MeanLoad: f.meanLoad, MeanLoadDemand: f.meanLoadDemand, RefilledAt: f.refilledAt}
	for _, s := range f.servers {
		m.Servers = append(m.Servers, ServerSnapshot{s.id, s.startedAt, s.slot, s.slotSetups, s.ejected, s.fullUntil, s.gaps.mean, s.gaps.deviation, s.lastHeardAt,
			s.link.snapshot()})
	}
	for _, l := range f.uplinks {
		m.Uplinks = append(m.Uplinks, l.snapshot())
	}
	return m
}

// Restore takes a memory, after the first Directory and before any session. Servers that are not listed are passed over.
func (f *Front) Restore(m Snapshot) {
	f.firstSetups, f.retries = slices.Clone(m.FirstSetups), slices.Clone(m.Retries)
	f.meanLoad, f.meanLoadDemand, f.refilledAt = m.MeanLoad, m.MeanLoadDemand, cmp.Or(m.RefilledAt, f.refilledAt)
	for _, r := range m.Servers {
		s := f.server(r.ID)
		if s == nil {
			continue
		}
		if r.Slot >= 0 {
			s.slot, s.slotSetups = r.Slot, r.SlotSetups
		}
		if s.gaps = (gapStats{r.MeanGap, r.GapDeviation}); s.startedAt > r.StartedAt {
			continue // it has started anew
		}
		s.startedAt, s.lastHeardAt, s.fullUntil = r.StartedAt, r.LastHeardAt, r.FullUntil
		s.link.restore(r.Link)
		if r.Ejected && f.probesAllowed { // probes alone bring it back
			f.eject(s, false)
		}
	}
	for i, r := range m.Uplinks[:min(len(m.Uplinks), len(f.uplinks))] {
		f.uplinks[i].restore(r)
	}
}

// SessionState is how a front sees a session that it decides on, for people who ask why.
type SessionState struct {
	SetupsSent   int  // SETUPs so far
	SeatsTaken   bool // all seats of its title are taken
	RetriesSpent bool // the ration allows no further SETUP
	MayHaveRun   bool // an earlier SETUP may have run
	Holders      []HolderState
}

// HolderState is how a front sees one holder of a session's title.
type HolderState struct {
	Server                       ServerID
	State                        Lifecycle
	Ejected                      bool    // gets nothing until it answers probes
	Full                         bool    // said so within the last second
	NoSlot                       bool    // cold, and the slot is not this front's or is used
	Tried                        bool    // by this session already
	Headroom                     float64 // kB a second left under the target of its link or uplink, the tighter one
	LinkPressure, UplinkPressure float64 // demand over target
}

// Explain tells how the front sees a session and the holders of its title now; ok is false where it knows of none.
func (f *Front) Explain(id SessID) (st SessionState, ok bool) {
	s := f.sessions[id]
	if s == nil {
		return st, false
	}
	st = SessionState{SetupsSent: s.setupsSent, SeatsTaken: s.group.Seats > 0 && f.seatsTaken[s.seat] >= s.group.Seats, RetriesSpent: !f.retryAllowed(), MayHaveRun: s.mayHaveRun}
	for _, sv := range f.servers {
		if (sv.cell-s.startCell+f.cells)%f.cells >= s.cellCount {
			continue
		}
		_, a := f.pressure(sv.link, sv, s, 0)
		_, u := f.pressure(sv.uplink, sv, s, 0)
		st.Holders = append(st.Holders, HolderState{sv.id, sv.state, sv.ejected, f.now < sv.fullUntil, !f.mayReceiveSetup(sv), slices.Contains(s.tried, sv), f.headroom(sv), a, u})
	}
	return st, true
}

// ServerEstimate is what a front counts at one server, for those who compare it with what passes there.
type ServerEstimate struct {
	Server   ServerID
	Sessions int     // SETUPs out and sessions there
	Demand   float64 // kB a second at the rungs wanted
	Load     float64 // of its link, others' part included
	Ejected  bool
}

// ServerEstimates gives what the front counts at each server, by id.
func (f *Front) ServerEstimates() (list []ServerEstimate) {
	for _, s := range f.servers {
		asks := s.link.rungDemand(false)
		list = append(list, ServerEstimate{s.id, len(s.link.sessions), asks, (asks + f.otherDemand(s.link)) / max(s.link.capacity, 1), s.ejected})
	}
	return list
}
