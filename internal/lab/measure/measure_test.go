package measure

import (
	"context"
	"net"
	"testing"

	"rainhaven/choice"
	running "rainhaven/internal/front"
	"rainhaven/internal/settings"
)

// BenchmarkTransfer measures media transfer at full speed, direct and through a front in this process.
func BenchmarkTransfer(b *testing.B) {
	src, err := listenFullSpeed()
	if err != nil {
		b.Fatal(err)
	}
	defer src.close()
	s := settings.Read("f", []byte(`front(name = "f", listen = "127.0.0.1:0")`+fleetSettings(1)+`box(id = 1, cell = 0, address = "127.0.0.1:1")`), settings.FrontForms)
	t := settings.FrontConfig(s)
	if len(s.Diagnostics) > 0 {
		b.Fatal(s.Diagnostics)
	}
	t.Boxes = []settings.Box{{Address: src.address, Listing: choice.Listing{ID: 1, State: choice.Ready, Weight: 1}}}
	f, err := running.New(t, running.Options{})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go f.Serve(l)
	for _, c := range []struct{ name, address string }{{"straight", src.address}, {"front", l.Addr().String()}} {
		b.Run(c.name, func(b *testing.B) {
			sum := 0.0
			for b.Loop() {
				mb, err := transfer(context.Background(), endpoint{c.address, nil}, 1, 0.5)
				if err != nil {
					b.Fatal(err)
				}
				sum += mb
			}
			b.ReportMetric(sum/float64(b.N), "MB/s")
		})
	}
}
