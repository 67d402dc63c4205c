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

// ControlSocket is the file name of the control socket in the instance's state folder.
const ControlSocket = "control.sock"

// controlService implements control.Service. The keys of the maps it returns are part of the operators' interface.
type controlService struct{ d *daemon }

func (c controlService) Status() any {
	f := c.d.facts()
	t := c.d.config
	return map[string]any{"front": t.Name, "process": os.Getpid(), "state": f.State, "seconds": time.Since(c.d.startedAt).Seconds(), "sessions": f.Sessions,
		"boxes": f.Boxes, "boxes that may get sessions": f.Usable, "health": health.Evaluate(f)}
}

func (c controlService) Sessions(maxCount int) any { return c.d.front.ListSessions(maxCount) }

func (c controlService) Boxes() any {
	snapshot, _ := c.d.front.Snapshot()
	now := now()
	var list []any
	for _, s := range snapshot.Servers {
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

func (c controlService) Explain(session string) ([]string, error) {
	lines := c.d.front.Explain(session)
	if len(lines) == 0 && session == "" {
		return nil, status.Error(codes.NotFound, "no request was turned away recently")
	}
	if len(lines) == 0 {
		return nil, status.Error(codes.NotFound, fmt.Sprintf("no record of session %q: it was never on this front, or ended too long ago", session))
	}
	return lines, nil
}

func (c controlService) Drain()  { c.d.post(func() { c.d.machine.Terminate("drain requested") }) }
func (c controlService) Reload() { c.d.post(c.d.machine.RequestReload) }

// startControl serves the control socket until the process ends.
func (d *daemon) startControl() {
	l, err := control.Listen(d.folder.Path(ControlSocket))
	if err != nil {
		d.Log.Warn("the control socket is not available", zap.Error(err))
		return
	}
	d.wg.Go(func() { control.Serve(d.ctx, l, controlService{d}) })
}
