package settings

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Migration is a front's settings rewritten for another layout.
type Migration struct {
	Script      []byte   // flat: one call an entry, no loops, names or comments
	Changed     []string // what the layout set otherwise, in words
	NotMigrated []string // what could not be carried over, in words
}

// layoutForms are the forms of a layout: a front's, with nothing needed but keys, and those that a layout may have and
// this program has no settings for.
func layoutForms() (list []Form) {
	for _, f := range FrontForms {
		f.Required, f.Fields = false, slices.Clone(f.Fields)
		for i := range f.Fields {
			f.Fields[i].Required = f.Fields[i].Name == f.Key
		}
		list = append(list, f)
	}
	return append(list,
		Form{Name: "everywhere", AtMostOnce: true, Doc: "every box holds every title"},
		Form{Name: "tenant", Key: "name", Doc: "one whose traffic beyond a share is worth little", Fields: []Field{
			{Name: "name", Kind: Text, Required: true, Doc: "its name"},
			{Name: "per_second", Kind: Number, Doc: "requests of its share, at all fronts together"}}},
		Form{Name: "peers", AtMostOnce: true, Doc: "fronts may send each other messages"})
}

// Migrate rewrites a front's settings for a layout, both given as files. Mistakes of either, and of the outcome, are
// its error; then there is no script.
func Migrate(file, layout string, instance int) (m Migration, err error) {
	old, err := ReadFile(file, FrontForms, instance)
	if err != nil {
		return m, err
	}
	before := FrontConfig(old)
	if len(old.Diagnostics) > 0 {
		return m, old.Diagnostics
	}
	over, err := ReadFile(layout, layoutForms(), instance)
	if err != nil {
		return m, err
	}
	m.listNotMigrated(file, old, over, instance)
	for _, f := range FrontForms {
		for _, e := range over.Entries(f.Name) {
			m.overlay(f, old, over, e)
		}
	}
	if _, ok := over.Single("everywhere"); ok {
		fleet, _ := old.Single("fleet")
		for _, e := range old.Entries("title") {
			m.setNumber("title "+e.Text("name"), e, Field{Name: "start_cell", Kind: Integer}, 0)
			m.setNumber("title "+e.Text("name"), e, Field{Name: "span", Kind: Integer}, fleet.Number("cells"))
		}
	}
	if len(over.Diagnostics) > 0 {
		return Migration{}, over.Diagnostics
	}
	script := old.source()
	after := Read(file+" for "+layout, script, FrontForms)
	terms := FrontConfig(after)
	if len(after.Diagnostics) > 0 {
		return Migration{}, after.Diagnostics
	}
	// Against a form or a kind of field that the writer does not know: what no layout changed must come out the same.
	if len(m.Changed) == 0 && !reflect.DeepEqual(before, terms) {
		return Migration{}, fmt.Errorf("%s: what was written does not read as it did", file)
	}
	m.Script = script
	return m, nil
}

// listNotMigrated lists what cannot be carried over.
func (m *Migration) listNotMigrated(file string, old, over *Document, instance int) {
	if src, err := os.ReadFile(file); err == nil {
		comments := 0
		for _, line := range strings.Split(string(src), "\n") {
			if strings.HasPrefix(strings.TrimSpace(line), "#") {
				comments++
			}
		}
		if comments > 0 {
			m.NotMigrated = append(m.NotMigrated, fmt.Sprintf("%d lines of comments; names, loops and sums are written as what they came to", comments))
		}
		if other := readInstance(file, src, FrontForms, instance+1); string(other.source()) != string(old.source()) {
			m.NotMigrated = append(m.NotMigrated, fmt.Sprintf("what follows from the number of the instance: this is for instance %d alone", instance))
		}
	}
	for _, e := range over.Entries("tenant") {
		m.NotMigrated = append(m.NotMigrated, fmt.Sprintf("tenant %s and its share: a front has no setting for tenants, all are served alike", e.Text("name")))
	}
	if _, ok := over.Single("peers"); ok {
		m.NotMigrated = append(m.NotMigrated, "messages between fronts: a front sends none")
	}
	for _, g := range old.Entries("group") {
		if g.Bool("paid") && !slices.ContainsFunc(over.Entries("group"), func(e Entry) bool {
			return e.Text("name") == g.Text("name") && e.Has("paid")
		}) {
			m.NotMigrated = append(m.NotMigrated, fmt.Sprintf("group %s stays paid, so it is never set up again; set paid = False in the layout where it may be", g.Text("name")))
		}
	}
}

// overlay sets the fields that a layout's call names in the old call of the same key.
func (m *Migration) overlay(f Form, old, over *Document, e Entry) {
	name := f.Name
	i := 0
	if f.Key != "" {
		key := func(e Entry) string { return e.format(f, f.Key) }
		if i = slices.IndexFunc(old.Entries(f.Name), func(o Entry) bool { return key(o) == key(e) }); i < 0 {
			over.Errorf(e.Line, "%s: there is no %s %s in the old settings", f.Name, f.Name, key(e))
			return
		}
		name += " " + key(e)
	} else if len(old.Entries(f.Name)) == 0 {
		old.addEntry(f, e.Line, nil) // with its defaults; what it needs beyond these the outcome's check asks for
		old.Diagnostics = nil
	}
	o := old.Entries(f.Name)[i]
	for _, x := range f.Fields {
		if !e.Has(x.Name) || x.Name == f.Key {
			continue
		}
		was := o.format(f, x.Name)
		o.numbers[x.Name], o.texts[x.Name], o.numberLists[x.Name], o.textLists[x.Name] = e.numbers[x.Name], e.texts[x.Name], e.numberLists[x.Name], e.textLists[x.Name]
		m.recordChange(name, o, f, x, was)
	}
}

func (m *Migration) setNumber(name string, e Entry, x Field, to float64) {
	f := Form{Fields: []Field{x}}
	was := e.format(f, x.Name)
	e.numbers[x.Name] = to
	m.recordChange(name, e, f, x, was)
}

func (m *Migration) recordChange(name string, e Entry, f Form, x Field, was string) {
	e.given[x.Name] = true
	if now := e.format(f, x.Name); now != was {
		m.Changed = append(m.Changed, fmt.Sprintf("%s: %s is %s, was %s", name, x.Name, now, was))
	}
}

// format is a field as a script writes it.
func (e Entry) format(f Form, name string) string {
	x := f.Fields[slices.IndexFunc(f.Fields, func(x Field) bool { return x.Name == name })]
	number := func(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }
	var list []string
	switch x.Kind {
	case Number, Integer:
		return number(e.numbers[name])
	case Bool:
		return map[bool]string{true: "True", false: "False"}[e.Bool(name)]
	case NumberList:
		for _, n := range e.numberLists[name] {
			list = append(list, number(n))
		}
	case TextList:
		for _, t := range e.textLists[name] {
			list = append(list, strconv.Quote(t))
		}
	default:
		return strconv.Quote(e.texts[name])
	}
	return "[" + strings.Join(list, ", ") + "]"
}

// source writes what a sheet holds, flat.
func (s *Document) source() []byte {
	var out strings.Builder
	for _, f := range FrontForms {
		for _, e := range s.Entries(f.Name) {
			var fields []string
			for _, x := range f.Fields {
				if e.Has(x.Name) {
					fields = append(fields, x.Name+" = "+e.format(f, x.Name))
				}
			}
			fmt.Fprintf(&out, "%s(%s)\n", f.Name, strings.Join(fields, ", "))
		}
	}
	return []byte(out.String())
}
