package front

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"reflect"

	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/auth"
	"rainhaven/choice/delivery"
	"rainhaven/choice/reload"
	"rainhaven/choice/session"
	"rainhaven/internal/settings"
)

// ErrClosed is returned by Reload once the front has ended.
var ErrClosed = errors.New("the front has ended")

// Reload applies new settings without a restart, either all of them or none. The plan lists the changes and the reasons
// for a rejection. Sessions continue.
func (f *Front) Reload(config settings.Config) (plan reload.Plan, err error) {
	if !f.call(func() { plan = f.reload(config) }) {
		return plan, ErrClosed
	}
	return plan, nil
}

func (f *Front) reload(config settings.Config) reload.Plan {
	old := f.config()
	change := reload.Change{Sections: changedSections(old, &config)}
	change.Sections = append(change.Sections, f.changedUserSections(&config)...)
	for _, g := range old.Groups {
		change.OldGroups = append(change.OldGroups, g.Name)
	}
	for _, g := range config.Groups {
		change.NewGroups = append(change.NewGroups, g.Name)
	}
	p := reload.NewPlan(change)
	if len(p.Rejections) > 0 {
		return p
	}
	if p.Has(reload.UpdateUsers) {
		f.authenticator, f.usersDigest = auth.New(config.Realm, config.Users, f.authKey), digestUsers(&config, f.authKey)
	}
	config.Users = nil // not kept in memory: the authenticator has its own copy
	config.Choice.Seed = old.Choice.Seed
	f.current.Store(&config)
	if p.Has(reload.UpdateLimits) {
		f.pool.SetMaxPerBox(config.Limits.MaxBoxConnections)
	}
	if p.Has(reload.ResetReporting) {
		f.meter = delivery.New(config.Choice.NoteInterval)
	}
	f.descriptions.SetCells(config.Choice.Cells)
	switch {
	case p.Has(reload.RebuildChoice):
		bestRungs := map[choice.SessID]int{}
		for id, sess := range f.sessions {
			sess.group = p.NewGroupIndex[sess.group]
			if sess.bandwidth >= 0 {
				sess.bestRung = session.BestRung(config.Groups[sess.group].Rates, sess.bandwidth)
				bestRungs[id] = sess.bestRung
			}
		}
		list := f.storeBoxes(true, config.Boxes)
		f.table.Reload(session.Config{Choice: config.Choice, Limits: f.sessionLimits(), NewGroupIndex: p.NewGroupIndex, BestRungs: bestRungs}, list, p.DiscardStale)
	default:
		if p.Has(reload.UpdateLimits) {
			f.table.SetLimits(f.sessionLimits())
		}
		if p.Has(reload.UpdateBoxes) {
			f.updateBoxes(true, config.Boxes)
		}
	}
	f.metrics.reloads.Inc()
	f.log.Info("new settings taken", zap.Any("changed", p.Changed))
	return p
}

// changedSections returns the sections that differ between two settings, by their names in choice/reload. Users are
// compared by changedUserSections.
func changedSections(a, b *settings.Config) (list []reload.Section) {
	x, y := &a.Choice, &b.Choice
	for _, c := range []struct {
		section       reload.Section
		before, after any
	}{
		{"front(name)", a.Name, b.Name},
		{"front(listen, tls_listen, admin)", [3]string{a.Listen, a.TLS.Listen, a.Admin}, [3]string{b.Listen, b.TLS.Listen, b.Admin}},
		{"front(cert, key)", [2]string{a.TLS.CertFile, a.TLS.KeyFile}, [2]string{b.TLS.CertFile, b.TLS.KeyFile}},
		{"front(me, fronts)", [2]int{x.FrontIndex, x.Fronts}, [2]int{y.FrontIndex, y.Fronts}},
		{"front(zone)", x.Zone, y.Zone},
		{"front(state)", a.StateDir, b.StateDir},
		{"front(log)", a.LogLevel, b.LogLevel},
		{"front(redirect)", a.Redirect, b.Redirect},
		{"box_tls", a.BoxTLS, b.BoxTLS},
		{"ladder", x.Ladder, y.Ladder},
		{"group", []any{x.Groups, a.Groups}, []any{y.Groups, b.Groups}},
		{"fleet", [5]float64{x.FleetLinkCapacity, x.MeanUplinkCapacity, x.CrossZonePrice, float64(x.Cells), float64(x.Racks)},
			[5]float64{y.FleetLinkCapacity, y.MeanUplinkCapacity, y.CrossZonePrice, float64(y.Cells), float64(y.Racks)}},
		{"zone", a.Zones, b.Zones},
		{"kind", []any{a.Kinds, x.MaxStreams}, []any{b.Kinds, y.MaxStreams}},
		{"setups", [5]float64{float64(x.MaxSetups), x.MaxRetryAfter, x.BaseRetries, x.RetriesPerSession, x.RetryWindow},
			[5]float64{float64(y.MaxSetups), y.MaxRetryAfter, y.BaseRetries, y.RetriesPerSession, y.RetryWindow}},
		{"cold", [4]float64{x.WarmUp, x.ColdShare, x.OverloadFactor, x.OverloadTime}, [4]float64{y.WarmUp, y.ColdShare, y.OverloadFactor, y.OverloadTime}},
		{"reports", []any{x.Reporting, x.NoteLag, x.NoteInterval, x.FullThreshold, x.Probes}, []any{y.Reporting, y.NoteLag, y.NoteInterval, y.FullThreshold, y.Probes}},
		{"drains", a.DrainGrace, b.DrainGrace},
		{"title", a.Titles, b.Titles},
		{"box", a.Boxes, b.Boxes},
		{"limits", a.Limits, b.Limits},
	} {
		if !reflect.DeepEqual(c.before, c.after) {
			list = append(list, c.section)
		}
	}
	return list
}

// digestUsers returns a keyed digest of the realm and users, so that changes are found without keeping passwords.
func digestUsers(config *settings.Config, key []byte) string {
	h := hmac.New(sha256.New, key)
	fmt.Fprintf(h, "%q", config.Realm)
	for _, u := range config.Users {
		fmt.Fprintf(h, "%q%q", u.Name, u.Password)
	}
	return string(h.Sum(nil))
}

func (f *Front) changedUserSections(config *settings.Config) []reload.Section {
	if digestUsers(config, f.authKey) == f.usersDigest {
		return nil
	}
	return []reload.Section{"front(realm) and user"}
}
