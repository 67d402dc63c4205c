package choice

// ServerID and SessID are ids of servers and sessions, as the front's protocol has them.
type (
	ServerID uint32
	SessID   string
)

// Actions carries out a Front's decisions. All methods are called from within Reconcile.
type Actions interface {
	// SetRung sets a session's rung.
	SetRung(id SessID, rung int)
	// Setup sends a SETUP, which times out after so many seconds.
	Setup(id SessID, server ServerID, timeout float64)
	// BusyReply answers a request finally as busy, with the advice to retry after so many seconds; 0 is no advice.
	BusyReply(id SessID, retryAfter float64)
	// FailureReply answers a request finally as failed.
	FailureReply(id SessID)
	// Probe probes a server.
	Probe(server ServerID)
	// SendMessage sends a message to another front. It may be lost.
	SendMessage(front int, message []byte)
	// SetTimer asks for a call of HandleTimer after so many seconds.
	SetTimer(after float64)
}

// Reporting is when servers report their load.
type Reporting int

// Servers report never, with their answers, or with probe results only.
const (
	ReportsNever Reporting = iota
	ReportsInAnswers
	ReportsInProbes
)

// ServiceGroup holds the settings of one service group.
type ServiceGroup struct {
	Utility        float64 // of a second at a rung of utility 1
	Scale          float64 // its rates over those of the ladder
	StartTarget    float64 // seconds within which an answer is wanted
	Paid           bool    // a SETUP is paid for and must not be repeated
	Floor, Top     int     // lowest and highest rung
	AddedRateShare float64 // share of its rate that one more viewer of a title adds at a server; 0 is all of it
	Seats          int     // most sessions of one title that a front may hold; 0 is no limit
}

// Config is what a front is started with.
type Config struct {
	Seed               uint64
	FrontIndex, Fronts int // this front among all, from 0; how many there are
	Zone               int
	Groups             []ServiceGroup
	Ladder             []float64 // kB a second of each rung
	Cells, Racks       int
	FleetLinkCapacity  float64   // kB a second of all links together
	MeanUplinkCapacity float64   // kB a second of a rack's uplink
	MaxStreams         []float64 // by kind of server
	NoteLag            float64   // seconds by which notes are late
	NoteInterval       float64   // seconds between load notes; 0 is none
	MaxSetups          int       // for one request
	MaxRetryAfter      float64   // longest advice to retry, in seconds, that viewers follow; 0 is none
	FullThreshold      float64   // load of their link from which servers answer full; 0 is never
	Probes             bool      // probes are allowed
	PeerMessages       bool      // fronts may send each other messages
	CrossZonePrice     float64   // of a session that crosses zones, in sessions
	ProbePrice         float64   // of one probe per session, in sessions
	Reporting          Reporting
	WarmUp             float64 // seconds after its start until a server is warm
	ColdShare          float64 // share of its capacity that a server starts with
	OverloadFactor     float64 // a cold server fails when it gets so many times the SETUPs that it can handle
	OverloadTime       float64 // over so many seconds
	UnsyncedClock      bool    // the front's clock is unrelated to other fronts' clocks
	BaseRetries        float64 // retries allowed within RetryWindow, however few sessions there are
	RetriesPerSession  float64 // further ones for each session with a SETUP within RetryWindow
	RetryWindow        float64 // seconds; 0 is no budget
}

// Lifecycle is the state of a server, as listed.
type Lifecycle int

// A server is gone, ready or draining.
const (
	Gone Lifecycle = iota
	Ready
	Draining
)

// Listing is one entry of the list of servers.
type Listing struct {
	ID               ServerID
	Zone, Kind, Cell int
	State            Lifecycle
	Weight           float64 // as listed; not used, as all are alike
	StartedAt        float64 // instant of its latest start; 0 is long ago
}

// Request is a session to be set up, or one handed over.
type Request struct {
	ID            SessID
	Group         int
	Title         string
	StartCell     int // first of the cells whose servers hold the title
	CellCount     int // how many cells from there on, the last followed by the first
	BestRung      int
	SetupDeadline float64 // instant at which the viewer gives up
	Length        float64 // expected length in seconds; 0 is not known
}

// Outcome is how a SETUP or a probe ended.
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
	// EndedUnanswered is a session that was established and has ended there, with no answer to its SETUP in time. It is
	// not placed again.
	EndedUnanswered
)

// LoadReport is a server's report of its load. A negative load is not reported.
type LoadReport struct {
	Link   float64 // demand on its link over the link's capacity
	Capped bool    // Link is 1 at most
	Uplink float64 // the same of its rack's uplink
}
