package daemon

import (
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rainhaven/choice/health"
	"rainhaven/internal/control"
)

// ControlSocket is where people ask a front, in its instance's folder.
const ControlSocket = "control.sock"

// controlled answers people.
type controlled struct{ d *daemon }

func (c controlled) Status() any {
	f := c.d.facts()
	t := c.d.terms
	return map[string]any{"front": t.Name, "process": os.Getpid(), "state": f.State, "seconds": time.Since(c.d.began).Seconds(), "sessions": f.Sessions,
		"boxes": f.Boxes, "boxes that may get sessions": f.Usable, "health": health.Evaluate(f)}
}

func (c controlled) Sessions(most int) any { return c.d.front.ListSessions(most) }

func (c controlled) Boxes() any {
	m, _ := c.d.front.Snapshot()
	now := now()
	var list []any
	for _, s := range m.Servers {
		b := map[string]any{"id": s.ID, "set aside": s.Ejected, "full": s.FullUntil > now, "size of link": s.Link.Capacity}
		if s.LastHeardAt > 0 {
			b["seconds since it was heard"] = now - s.LastHeardAt
		}
		if s.Link.ReportedAt > 0 {
			b["load of link"], b["seconds since"] = s.Link.ReportedLoad, now-s.Link.ReportedAt
		}
		if s.StartedAt > 0 {
			b["seconds since its start"] = now - s.StartedAt
		}
		list = append(list, b)
	}
	return list
}

func (c controlled) Explain(session string) ([]string, error) {
	lines := c.d.front.Explain(session)
	if len(lines) == 0 && session == "" {
		return nil, status.Error(codes.NotFound, "no request was turned away lately")
	}
	if len(lines) == 0 {
		return nil, status.Error(codes.NotFound, fmt.Sprintf("nothing is kept of session %q: it was never here, or is too long ago", session))
	}
	return lines, nil
}

func (c controlled) Drain()  { c.d.post(func() { c.d.life.Terminate("asked to drain") }) }
func (c controlled) Reload() { c.d.post(c.d.life.RequestReload) }

// control answers until the process ends.
func (d *daemon) control() {
	l, err := control.Listen(d.folder.Path(ControlSocket))
	if err != nil {
		d.Log.Warn("nobody can ask this front", zap.Error(err))
		return
	}
	d.work.Go(func() { control.Serve(d.over, l, controlled{d}) })
}
