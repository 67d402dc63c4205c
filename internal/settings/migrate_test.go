package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func migrate(t *testing.T, old, layout string) (Migration, Config, error) {
	t.Helper()
	dir := t.TempDir()
	names := [2]string{filepath.Join(dir, "old.star"), filepath.Join(dir, "layout.star")}
	for i, text := range []string{old, layout} {
		if err := os.WriteFile(names[i], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	m, err := Migrate(names[0], names[1], 0)
	doc := Read("new.star", m.Script, FrontForms)
	return m, FrontConfig(doc), err
}

// Without a layout the migrated script must be flat and yield the same settings.
func TestMigrationWithoutLayoutChanges(t *testing.T) {
	m, cfg, err := migrate(t, "# north\n"+validScript+`user(name = "ada", password = "q\"\\u")`, "")
	if err != nil || len(m.Changed) > 0 {
		t.Fatal(err, m.Changed)
	}
	want := FrontConfig(Read("old.star", []byte(validScript+`user(name = "ada", password = "q\"\\u")`), FrontForms))
	if !reflect.DeepEqual(cfg, want) {
		t.Errorf("%+v\n%+v", cfg, want)
	}
	if len(m.NotMigrated) != 1 || !strings.Contains(m.NotMigrated[0], "1 comment lines") {
		t.Error(m.NotMigrated)
	}
}

func TestMigrationAppliesLayout(t *testing.T) {
	m, cfg, err := migrate(t, strings.Replace(validScript, "seats = 5", "paid = True", 1)+`setups(most = 3)
front_names = instance
limits(sessions = 1000 + instance)
`, `
fleet(shared_adds = 0.3)
group(name = "grower-guides", live = True, top = 2)
reports(come = "probes", notes_every = 0, full_at = 1)
setups(most = 5, window = 0)
drains(grace = 0.25)
everywhere()
tenant(name = "leie", per_second = 13)
peers()
`)
	if err != nil {
		t.Fatal(err)
	}
	f := cfg.Choice
	if f.Groups[1].AddedRateShare != 0.3 || f.Groups[1].Top != 2 || f.Groups[0].AddedRateShare != 0 || f.FullThreshold != 1 || f.NoteInterval != 0 ||
		f.MaxSetups != 5 || f.RetryWindow != 0 || cfg.DrainGrace != 0.25 || cfg.Titles["vents"] != (Title{CellCount: 6}) ||
		len(cfg.Boxes) != 6 || !f.Groups[0].Paid {
		t.Errorf("%+v", cfg)
	}
	all := strings.Join(m.NotMigrated, "\n")
	for _, part := range []string{"instance 0 only", "tenant leie", "messages between fronts", "fault-clips stays paid"} {
		if !strings.Contains(all, part) {
			t.Errorf("%q is not listed in\n%s", part, all)
		}
	}
	if all := strings.Join(m.Changed, "\n"); !strings.Contains(all, "title vents: span is 6, was 3") ||
		!strings.Contains(all, "reports: full_at is 1, was 0") {
		t.Error(all)
	}
}

func TestMigrationErrors(t *testing.T) {
	for name, c := range map[string]struct{ old, layout, want string }{
		"an error in the old settings": {strings.Replace(validScript, "places = 20", "places = 0", 1), "", ":6:"},
		"an error in the layout":       {validScript, "fleet(shared_adds = 3)", "the maximum is 1"},
		"a group that does not exist":  {validScript, `group(name = "clips", live = True)`, "no group"},
		"an invalid result":            {validScript, `group(name = "fault-clips", top = 7)`, "rungs are 0 to 3"},
	} {
		m, _, err := migrate(t, c.old, c.layout)
		if err == nil || !strings.Contains(err.Error(), c.want) || m.Script != nil {
			t.Errorf("%s: %v, %q", name, err, m.Script)
		}
	}
}
