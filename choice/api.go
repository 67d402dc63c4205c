// The interface of the module: what a front tells it and what it may do. Nothing is decided here.

package choice

// ServerID and SessID are ids as the front's wire gives them.
type (
	ServerID uint32
	SessID   string
)

// Actions is what the module can have done. All acts are given from within Settle.
type Actions interface {
	SetRung(id SessID, rung int)                    // set the session's rung
	Setup(id SessID, server ServerID, wait float64) // send a SETUP, waiting so many seconds at most
	BusyReply(id SessID, comeBack float64)          // final answer: busy; 0 gives no advice
	FailureReply(id SessID)                         // final answer: failed
	Probe(server ServerID)                          // examine a server
	SendMessage(front int, words []byte)            // send a message to another front; it may be lost
	SetTimer(after float64)                         // call Due after so many seconds
}

// Reporting says when servers tell their load.
type Reporting int

// Servers report never, with their answers, or with probe results only.
const (
	ReportsNever Reporting = iota
	ReportsInAnswers
	ReportsInProbes
)

// ServiceGroup is one service group's terms.
type ServiceGroup struct {
	Utility        float64 // of a second at a rung of utility 1
	Scale          float64 // its rates over those of the ladder
	StartTarget    float64 // seconds within which an answer is wanted
	Paid           bool    // a SETUP is paid for and must not be repeated
	Floor, Top     int     // lowest and highest rung
	AddedRateShare float64 // what a further viewer of a title adds to its stream at a server, of its rate; 0 is all
	Seats          int     // sessions of one title that a front may hold; 0 is no cap
}

// Config is what a front knows when it starts. The module derives its own figures and drops the rest.
type Config struct {
	Seed               uint64
	FrontIndex, Fronts int
	Zone               int
	Groups             []ServiceGroup
	Ladder             []float64 // kB a second for each rung
	Cells, Racks       int
	FleetLinkCapacity  float64   // kB a second of all links together
	MeanUplinkCapacity float64   // kB a second of a rack's uplink
	MaxStreams         []float64 // streams at most, for each kind of server
	NoteLag            float64   // seconds that notes lag
	NoteInterval       float64   // seconds between load notes; 0 is none
	MaxSetups          int       // SETUPs at most for one request
	MaxRetryAfter      float64   // longest advice on coming back that viewers follow; 0 is none
	FullThreshold      float64   // servers answer full while so much of their link is asked; 0 is never
	Probes             bool
	PeerMessages       bool    // fronts may send each other messages
	CrossZonePrice     float64 // for a session that crosses zones, in sessions
	ProbePrice         float64 // for one probe a session, in sessions
	Reporting          Reporting
	WarmUp             float64 // a started server is warm after so many seconds
	ColdShare          float64 // and starts at this share of its capacity
	OverloadFactor     float64 // sent so many times what it can take
	OverloadTime       float64 // for so many seconds, a cold server falls over
	UnsyncedClock      bool    // the front's clock has nothing in common with other fronts'
	BaseRetries        float64 // further SETUPs allowed however few sessions are taken
	RetriesPerSession  float64 // and for each session taken
	RetryWindow        float64 // within so many seconds; 0 is no budget
}

// Lifecycle is what the directory knows of a server.
type Lifecycle int

// A server is gone, ready or draining.
const (
	Gone Lifecycle = iota
	Ready
	Draining
)

// Listing is one server in the directory.
type Listing struct {
	ID               ServerID
	Zone, Kind, Cell int
	State            Lifecycle
	Weight           float64
	StartedAt        float64 // instant of its most recent start; 0 is long ago
}

// Request is a session to be set up, or one handed over.
type Request struct {
	ID           SessID
	Group        int
	Title        string
	StartCell    int
	CellCount    int
	BestRung     int
	SetupTimeout float64 // instant at which the viewer gives up
	Length       float64 // expected length in seconds; 0 is not told
}

// Outcome tells how a SETUP or a probe ended.
type Outcome int

// The outcomes. Full, NoConnection and Unsent prove that a SETUP never ran.
const (
	Served Outcome = iota + 1
	ServerError
	Full
	TimedOut
	NoConnection
	Reset
	Cancelled
	Unsent
	EndedUnanswered // the session stood and has ended there, and its answer did not come in time: it is not placed again
)

// LoadReport is a server's word on its load; a negative figure was not told.
type LoadReport struct {
	Link   float64 // asked of its link over what the link gives
	Capped bool    // Link says 1 at most
	Uplink float64 // the same for the uplink of its rack
}
