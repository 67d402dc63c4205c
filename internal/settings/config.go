// Package settings reads a front's settings from a Starlark script and validates them. Every error is reported with its
// file, line and the expected value; a script with errors is rejected as a whole.
package settings

import (
	"rainhaven/choice"
	"rainhaven/choice/auth"
	"rainhaven/choice/limits"
)

// Config holds the settings of one front.
type Config struct {
	Name     string      // of the instance, in logs, metrics and requests to boxes
	Listen   string      // address for viewers
	TLS      TLSListener // for viewers that connect over TLS; disabled if Listen is empty
	BoxTLS   TLSTrust    // for connections to boxes over TLS; disabled if RootsFile is empty
	StateDir string      // existing directory in which the instance creates its own; if empty, no state is saved
	LogLevel string      // minimum level; if empty, the level set at process start applies
	Admin    string      // address for health and metrics; disabled if empty

	Choice   choice.Config // a Seed of 0 is replaced by a random one at start
	Groups   []Group       // in the order of Choice.Groups
	Titles   map[string]Title
	Boxes    []Box
	Redirect string // host:port that viewers are redirected to while the front drains; disabled if empty
	Realm    string
	Users    []auth.User // if empty, viewers need no credentials
	Zones    []string
	Kinds    []string

	Limits     limits.Bounds
	DrainGrace float64 // seconds after which no new session may reach a draining box; package choice does not use it
}

// TLSListener holds a TLS address and the files with its certificate and key.
type TLSListener struct{ Listen, CertFile, KeyFile string }

// TLSTrust holds a file of root certificates and the name that a peer's certificate must be valid for.
type TLSTrust struct{ RootsFile, ServerName string }

// Group holds the settings of a service group that package choice does not need.
type Group struct {
	Name         string
	SetupTimeout float64   // seconds until its viewers give up
	Rates        []float64 // kB per second, by rung
}

// Title holds the cells and the length of a title.
type Title struct {
	StartCell, CellCount int
	Length               float64 // seconds; 0 if unknown
}

// Box is a listed server with its address.
type Box struct {
	choice.Listing
	Address string
}

// GroupIndex returns the index of the service group with a name, or -1 if there is none.
func (cfg *Config) GroupIndex(name string) int {
	for i, g := range cfg.Groups {
		if g.Name == name {
			return i
		}
	}
	return -1
}
