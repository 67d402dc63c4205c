// Package settings reads a front's settings, a Starlark script, into checked figures. Every mistake is named with its
// file and line and what would be right; nothing is taken from a script that has one.
package settings

import (
	"rainhaven/choice"
	"rainhaven/choice/auth"
	"rainhaven/choice/limits"
)

// Config are what one front runs by.
type Config struct {
	Name     string      // of the instance: in logs, metrics and towards boxes
	Listen   string      // address for viewers
	TLS      TLSListener // for viewers that come over TLS; an empty Listen is none
	BoxTLS   TLSTrust    // of boxes, which are then reached over TLS; empty Roots is none
	StateDir string      // folder that must exist, in which the instance has its own; empty keeps nothing
	LogLevel string      // least level; empty leaves it as the process began with
	Admin    string      // address for health and metrics; empty is none

	Choice   choice.Config // Seed 0 is drawn at start
	Groups   []Group       // in the order of Figures.Groups
	Titles   map[string]Title
	Boxes    []Box
	Redirect string // host:port that viewers are sent to while the front drains; empty is none
	Realm    string
	Users    []auth.User // none: everyone may enter
	Zones    []string
	Kinds    []string

	Limits     limits.Bounds
	DrainGrace float64 // seconds after which nothing new may reach a box that drains; the module needs none of it
}

// TLSListener is an address for TLS and the files of its certificate and key.
type TLSListener struct{ Listen, CertFile, KeyFile string }

// TLSTrust is a file of certificates, and the name that one must be for.
type TLSTrust struct{ RootsFile, ServerName string }

// Group is what a front needs of a service group beside the module's terms.
type Group struct {
	Name         string
	SetupTimeout float64   // seconds until a viewer gives up
	Rates        []float64 // kB a second for each rung
}

// Title is what a front knows of a title.
type Title struct {
	StartCell, Span int
	Length          float64 // seconds; 0 is not known
}

// Box is one server of the list, with its address.
type Box struct {
	choice.Listing
	Address string
}

// GroupIndex finds a service group by its name, -1 where there is none.
func (t *Config) GroupIndex(name string) int {
	for i, g := range t.Groups {
		if g.Name == name {
			return i
		}
	}
	return -1
}
