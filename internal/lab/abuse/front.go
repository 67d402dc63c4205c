package abuse

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"rainhaven/internal/lab/box"
)

// Front is a front with its boxes.
type Front struct {
	*Process
	Address string
	Boxes   []*box.Box
}

// frontSettings are the settings of a front with two titles, without its boxes.
const frontSettings = `front(name = "front-1", listen = %q)
kind(name = "large", places = 4000)
ladder(rates = [250, 500, 1000, 2000])
group(name = "clips", start_target = 1, setup_timeout = 1.5)
fleet(links = 4000000, uplink = 4000000, cells = %d, racks = 1)
setups(most = 3, spare = 5, share = 0.1, window = 10)
reports(come = "answers", lag = 1, notes_every = 3)
title(name = "vents", span = %d)
`

// StartFront starts a front with so many boxes, and waits until it listens. Connections are limited to half of the descriptors, as a
// session takes two.
func StartFront(program, folder string, boxes int) (*Front, error) {
	f := &Front{}
	epoch := time.Now()
	site := &box.Config{Ladder: []float64{250, 500, 1000, 2000}, MaxSessions: 4000, TitleLength: func(string) float64 { return 0 }, ReportInterval: 0.4,
		NoteInterval: 3, FPS: 25, DisconnectGrace: 2, PayloadScale: 0.01, Now: func() float64 { return float64(epoch.Unix()) + time.Since(epoch).Seconds() }}
	var err error
	if f.Address, err = freeAddress(); err != nil {
		return nil, err
	}
	var script strings.Builder
	fmt.Fprintf(&script, frontSettings, f.Address, boxes, boxes)
	fmt.Fprintf(&script, "limits(connections = %d)\n", DescriptorLimit/2)
	rack := box.NewRack(4000000)
	for i := range boxes {
		b, err := box.Start(site, i+1, "", 4000000, rack, false)
		if err != nil {
			return nil, err
		}
		f.Boxes = append(f.Boxes, b)
		fmt.Fprintf(&script, "box(id = %d, address = %q, cell = %d)\n", i+1, b.Address, i)
	}
	path := filepath.Join(folder, "front.star")
	if err := os.WriteFile(path, []byte(script.String()), 0o600); err != nil {
		return nil, err
	}
	if f.Process, err = startProcess(program, nil, "front", "--log", "warn", "--config", path); err != nil {
		return nil, err
	}
	return f, f.awaitListener(f.Address, 10*time.Second)
}

// Stop ends the front's process and its boxes.
func (f *Front) Stop() {
	f.Process.Stop()
	for _, b := range f.Boxes {
		b.Close()
	}
}
