package settings

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Migration is the result of rewriting a front's settings for another layout.
type Migration struct {
	Script      []byte   // flat: one call per entry, without loops, variables or comments
	Changed     []string // descriptions of the values that the layout changed
	NotMigrated []string // descriptions of what could not be migrated
}

// layoutForms returns the forms of a layout: those of a front, with only the keys required, and forms that a layout may
// use but that a front has no settings for.
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
		Form{Name: "tenant", Key: "name", Doc: "a tenant whose traffic beyond its share has little value", Fields: []Field{
			{Name: "name", Kind: Text, Required: true, Doc: "name of the tenant"},
			{Name: "per_second", Kind: Number, Doc: "requests per second of its share, at all fronts together"}}},
		Form{Name: "peers", AtMostOnce: true, Doc: "fronts may send messages to each other"})
}

// Migrate rewrites a front's settings for a layout, both given as files. Errors in either of them or in the resulting
// settings are returned as Diagnostics; in that case there is no script.
func Migrate(file, layout string, instance int) (m Migration, err error) {
	old, err := ReadFile(file, FrontForms, instance)
	if err != nil {
		return m, err
	}
	before := FrontConfig(old)
	if len(old.Diagnostics) > 0 {
		return m, old.Diagnostics
	}
	overrides, err := ReadFile(layout, layoutForms(), instance)
	if err != nil {
		return m, err
	}
	m.listNotMigrated(file, old, overrides, instance)
	for _, f := range FrontForms {
		for _, e := range overrides.Entries(f.Name) {
			m.overlay(f, old, overrides, e)
		}
	}
	if _, ok := overrides.Single("everywhere"); ok {
		fleet, _ := old.Single("fleet")
		for _, e := range old.Entries("title") {
			m.setNumber("title "+e.Text("name"), e, Field{Name: "start_cell", Kind: Integer}, 0)
			m.setNumber("title "+e.Text("name"), e, Field{Name: "span", Kind: Integer}, fleet.Number("cells"))
		}
	}
	if len(overrides.Diagnostics) > 0 {
		return Migration{}, overrides.Diagnostics
	}
	script := old.source()
	after := Read(file+" for "+layout, script, FrontForms)
	result := FrontConfig(after)
	if len(after.Diagnostics) > 0 {
		return Migration{}, after.Diagnostics
	}
	// Guards against forms or kinds of fields that source does not handle: without changes the result must be the same.
	if len(m.Changed) == 0 && !reflect.DeepEqual(before, result) {
		return Migration{}, fmt.Errorf("%s: the rewritten script does not yield the same settings", file)
	}
	m.Script = script
	return m, nil
}

// listNotMigrated records what cannot be migrated.
func (m *Migration) listNotMigrated(file string, old, overrides *Document, instance int) {
	if src, err := os.ReadFile(file); err == nil {
		comments := 0
		for _, line := range strings.Split(string(src), "\n") {
			if strings.HasPrefix(strings.TrimSpace(line), "#") {
				comments++
			}
		}
		if comments > 0 {
			m.NotMigrated = append(m.NotMigrated, fmt.Sprintf("%d comment lines; variables, loops and expressions are replaced by their values", comments))
		}
		if other := readInstance(file, src, FrontForms, instance+1); string(other.source()) != string(old.source()) {
			m.NotMigrated = append(m.NotMigrated, fmt.Sprintf("values that depend on the instance number: the script is for instance %d only", instance))
		}
	}
	for _, e := range overrides.Entries("tenant") {
		m.NotMigrated = append(m.NotMigrated, fmt.Sprintf("tenant %s and its share: a front has no setting for tenants and serves all alike", e.Text("name")))
	}
	if _, ok := overrides.Single("peers"); ok {
		m.NotMigrated = append(m.NotMigrated, "messages between fronts: a front sends none")
	}
	for _, g := range old.Entries("group") {
		if g.Bool("paid") && !slices.ContainsFunc(overrides.Entries("group"), func(e Entry) bool {
			return e.Text("name") == g.Text("name") && e.Has("paid")
		}) {
			m.NotMigrated = append(m.NotMigrated, fmt.Sprintf("group %s stays paid, so its SETUPs are never retried; set paid = False in the layout if they may be", g.Text("name")))
		}
	}
}

// overlay copies the fields set by a layout's call to the old call with the same key.
func (m *Migration) overlay(f Form, old, overrides *Document, e Entry) {
	name := f.Name
	i := 0
	if f.Key != "" {
		key := func(e Entry) string { return e.format(f, f.Key) }
		if i = slices.IndexFunc(old.Entries(f.Name), func(o Entry) bool { return key(o) == key(e) }); i < 0 {
			overrides.Errorf(e.Line, "%s: there is no %s %s in the old settings", f.Name, f.Name, key(e))
			return
		}
		name += " " + key(e)
	} else if len(old.Entries(f.Name)) == 0 {
		old.addEntry(f, e.Line, nil) // only defaults; required fields are checked in the result
		old.Diagnostics = nil
	}
	o := old.Entries(f.Name)[i]
	for _, x := range f.Fields {
		if !e.Has(x.Name) || x.Name == f.Key {
			continue
		}
		before := o.format(f, x.Name)
		o.numbers[x.Name], o.texts[x.Name], o.numberLists[x.Name], o.textLists[x.Name] = e.numbers[x.Name], e.texts[x.Name], e.numberLists[x.Name], e.textLists[x.Name]
		m.recordChange(name, o, f, x, before)
	}
}

// setNumber sets a number in an entry and records the change.
func (m *Migration) setNumber(name string, e Entry, x Field, to float64) {
	f := Form{Fields: []Field{x}}
	before := e.format(f, x.Name)
	e.numbers[x.Name] = to
	m.recordChange(name, e, f, x, before)
}

// recordChange marks a field as set and records it in Changed if its value differs from before.
func (m *Migration) recordChange(name string, e Entry, f Form, x Field, before string) {
	e.given[x.Name] = true
	if after := e.format(f, x.Name); after != before {
		m.Changed = append(m.Changed, fmt.Sprintf("%s: %s is %s, was %s", name, x.Name, after, before))
	}
}

// format returns the value of a field as a Starlark literal.
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

// source returns the document as a flat script.
func (doc *Document) source() []byte {
	var out strings.Builder
	for _, f := range FrontForms {
		for _, e := range doc.Entries(f.Name) {
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
