package settings

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Diagnostic is one thing that is wrong in a script, and what would be right.
type Diagnostic struct {
	File    string
	Line    int
	Message string
}

func (m Diagnostic) Error() string { return fmt.Sprintf("%s:%d: %s", m.File, m.Line, m.Message) }

// Diagnostics are all of a script's.
type Diagnostics []Diagnostic

func (m Diagnostics) Error() string {
	lines := make([]string, len(m))
	for i, x := range m {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// Kind is what a field takes.
type Kind int

// The kinds of fields.
const (
	Number Kind = iota
	Integer
	Text
	Bool
	NumberList
	TextList
)

func (k Kind) String() string {
	return [...]string{"a number", "a whole number", "a text", "True or False", "a list of numbers", "a list of texts"}[k]
}

// Field is one named value of a form.
type Field struct {
	Name     string
	Kind     Kind
	Required bool
	Default  any     // float64, string, bool, or nil for the kind's zero
	Min, Max float64 // of numbers; Max 0 means no bound
	Doc      string
}

// Form is a call that a script may make.
type Form struct {
	Name       string
	Required   bool   // once at least
	AtMostOnce bool   // once at most
	Key        string // a field whose values must differ from call to call
	Doc        string
	Fields     []Field
}

// Entry is one call that a script made.
type Entry struct {
	Line    int
	numbers map[string]float64
	texts   map[string]string
	lists   map[string][]float64
	words   map[string][]string
	set     map[string]bool
}

// Number, Int, Text, Flag, Numbers and Texts are a field's value, or its default.
func (e Entry) Number(name string) float64       { return e.numbers[name] }
func (e Entry) Int(name string) int              { return int(e.numbers[name]) }
func (e Entry) Text(name string) string          { return e.texts[name] }
func (e Entry) Bool(name string) bool            { return e.numbers[name] != 0 }
func (e Entry) NumberList(name string) []float64 { return e.lists[name] }
func (e Entry) TextList(name string) []string    { return e.words[name] }

// Has tells whether a field was given.
func (e Entry) Has(name string) bool { return e.set[name] }

// Document is what a script said.
type Document struct {
	File        string
	entries     map[string][]Entry
	Diagnostics Diagnostics
}

// Entries gives the calls of a form, in the script's order.
func (s *Document) Entries(form string) []Entry { return s.entries[form] }

// Single gives the only call of a form; ok is false where there is none.
func (s *Document) Single(form string) (e Entry, ok bool) {
	if l := s.entries[form]; len(l) > 0 {
		return l[0], true
	}
	return Entry{numbers: map[string]float64{}}, false
}

// Errorf adds a mistake at a line.
func (s *Document) Errorf(line int, format string, args ...any) {
	if len(s.Diagnostics) < mostMistakes {
		s.Diagnostics = append(s.Diagnostics, Diagnostic{s.File, line, fmt.Sprintf(format, args...)})
	}
}

const (
	mostMistakes = 50       // told of one script; the rest follow once these are mended
	mostSteps    = 20 << 20 // of a script's run: a second or so, for scripts that never end
	mostEntries  = 20000    // calls in all
)

// ReadFile reads a script from a file for an instance. The error is the file's; mistakes are in the sheet.
func ReadFile(file string, forms []Form, instance int) (*Document, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	return read(file, src, forms, instance), nil
}

// Read runs a script and takes the calls that its forms allow.
func Read(file string, src []byte, forms []Form) *Document { return read(file, src, forms, 0) }

// read is Read for one of many instances of one script, which knows its number by the name instance.
func read(file string, src []byte, forms []Form, instance int) *Document {
	s := &Document{File: file, entries: map[string][]Entry{}}
	known, count := starlark.StringDict{"instance": starlark.MakeInt(instance)}, 0
	for _, f := range forms {
		known[f.Name] = starlark.NewBuiltin(f.Name, func(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kw []starlark.Tuple) (starlark.Value, error) {
			line := int(t.CallFrame(1).Pos.Line)
			if count++; count > mostEntries {
				return nil, fmt.Errorf("over %d calls", mostEntries)
			}
			if len(args) > 0 {
				s.Errorf(line, "%s takes named fields only, as in %s", f.Name, f.example())
				return starlark.None, nil
			}
			s.take(f, line, kw)
			return starlark.None, nil
		})
	}
	thread := &starlark.Thread{Name: file, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(mostSteps)
	_, err := starlark.ExecFileOptions(&syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}, thread, file, src, known)
	var syn syntax.Error
	var eval *starlark.EvalError
	switch {
	case err == nil:
	case errors.As(err, &syn):
		s.Errorf(int(syn.Pos.Line), "%s", syn.Msg)
	case errors.As(err, &eval):
		line := 0
		for _, fr := range eval.CallStack {
			if fr.Pos.Filename() == file {
				line = int(fr.Pos.Line)
			}
		}
		s.Errorf(line, "%s", eval.Msg)
	default:
		s.unresolved(err, forms)
	}
	if len(s.Diagnostics) > 0 && len(s.entries) == 0 {
		return s // it did not run at all: what is missing would only be noise
	}
	for _, f := range forms {
		s.whole(f)
	}
	slices.SortStableFunc(s.Diagnostics, func(a, b Diagnostic) int { return cmp.Compare(a.Line, b.Line) })
	return s
}

// unresolved names each unknown name of a script and the nearest one that there is.
func (s *Document) unresolved(err error, forms []Form) {
	names := make([]string, len(forms))
	for i, f := range forms {
		names[i] = f.Name
	}
	for _, line := range strings.Split(err.Error(), "\n") {
		n, what := 1, line
		if parts := strings.SplitN(strings.TrimPrefix(line, s.File+":"), ":", 3); len(parts) == 3 {
			fmt.Sscan(parts[0], &n)
			what = strings.TrimSpace(parts[2])
		}
		if _, name, ok := strings.Cut(what, "undefined: "); ok {
			what = fmt.Sprintf("there is no %s%s", name, nearest(name, names))
		}
		s.Errorf(n, "%s", what)
	}
}

func (f Form) example() string {
	for _, x := range f.Fields {
		if x.Required {
			return fmt.Sprintf("%s(%s = ...)", f.Name, x.Name)
		}
	}
	return f.Name + "()"
}

// take reads one call.
func (s *Document) take(f Form, line int, kw []starlark.Tuple) {
	e := Entry{Line: line, numbers: map[string]float64{}, texts: map[string]string{}, lists: map[string][]float64{},
		words: map[string][]string{}, set: map[string]bool{}}
	for _, x := range f.Fields {
		switch d := x.Default.(type) {
		case float64:
			e.numbers[x.Name] = d
		case string:
			e.texts[x.Name] = d
		case bool:
			if d {
				e.numbers[x.Name] = 1
			}
		}
	}
	names := make([]string, len(f.Fields))
	for i, x := range f.Fields {
		names[i] = x.Name
	}
	for _, pair := range kw {
		name := string(pair[0].(starlark.String))
		i := slices.Index(names, name)
		if i < 0 {
			s.Errorf(line, "%s has no field %s%s", f.Name, name, nearest(name, names))
			continue
		}
		e.set[name] = true
		if why := e.field(f.Fields[i], pair[1]); why != "" {
			s.Errorf(line, "%s: %s %s", f.Name, name, why)
		}
	}
	for _, x := range f.Fields {
		if x.Required && !e.set[x.Name] {
			s.Errorf(line, "%s needs %s: %s, %s", f.Name, x.Name, x.Kind, x.Doc)
		}
	}
	s.entries[f.Name] = append(s.entries[f.Name], e)
}

// field takes one value; what is wrong with it comes back in words.
func (e Entry) field(x Field, v starlark.Value) string {
	wrong := fmt.Sprintf("is %s; %s belongs there: %s", clip(v.String()), x.Kind, x.Doc)
	number := func(v starlark.Value) (float64, bool) {
		if _, is := v.(starlark.Bool); is {
			return 0, false
		}
		n, ok := starlark.AsFloat(v)
		return n, ok && !math.IsNaN(n) && !math.IsInf(n, 0)
	}
	bounds := func(n float64) string {
		switch {
		case n < x.Min:
			return fmt.Sprintf("is %v; %v is the least", n, x.Min)
		case x.Max > 0 && n > x.Max:
			return fmt.Sprintf("is %v; %v is the most", n, x.Max)
		}
		return ""
	}
	switch x.Kind {
	case Number, Integer:
		n, ok := number(v)
		if !ok || x.Kind == Integer && n != math.Trunc(n) {
			return wrong
		}
		e.numbers[x.Name] = n
		return bounds(n)
	case Text:
		t, ok := starlark.AsString(v)
		if !ok {
			return wrong
		}
		if e.texts[x.Name] = t; x.Required && t == "" {
			return "is empty; " + x.Doc + " belongs there"
		}
	case Bool:
		b, ok := v.(starlark.Bool)
		if !ok {
			return wrong
		}
		if e.numbers[x.Name] = 0; bool(b) {
			e.numbers[x.Name] = 1
		}
	case NumberList, TextList:
		list, ok := v.(starlark.Iterable)
		if !ok {
			return wrong
		}
		it := list.Iterate()
		defer it.Done()
		for one := starlark.Value(nil); it.Next(&one); {
			if t, is := starlark.AsString(one); is && x.Kind == TextList {
				e.words[x.Name] = append(e.words[x.Name], t)
				continue
			}
			n, is := number(one)
			if !is || x.Kind == TextList {
				return wrong
			}
			if why := bounds(n); why != "" {
				return "has an entry that " + why
			}
			e.lists[x.Name] = append(e.lists[x.Name], n)
		}
		if x.Required && len(e.lists[x.Name])+len(e.words[x.Name]) == 0 {
			return "is empty; " + x.Doc + " belongs there"
		}
	}
	return ""
}

// whole checks a form's calls together.
func (s *Document) whole(f Form) {
	list := s.entries[f.Name]
	if f.Required && len(list) == 0 {
		s.Errorf(1, "%s is missing: %s, as in %s", f.Name, f.Doc, f.example())
	}
	if f.AtMostOnce && len(list) > 1 {
		s.Errorf(list[1].Line, "%s stands a second time; it was on line %d, and one of them must go", f.Name, list[0].Line)
	}
	if f.Key == "" {
		return
	}
	seen := map[string]int{}
	for _, e := range list {
		k := e.texts[f.Key]
		if k == "" {
			k = fmt.Sprint(e.numbers[f.Key])
		}
		if line, twice := seen[k]; twice {
			s.Errorf(e.Line, "%s %s stands a second time; it was on line %d", f.Name, k, line)
		} else if e.set[f.Key] {
			seen[k] = e.Line
		}
	}
}

func clip(s string) string {
	if len(s) > 40 {
		return s[:37] + "..."
	}
	return s
}

// nearest names the known word that a mistaken one is closest to, if any is close.
func nearest(word string, known []string) string {
	best, least := "", len(word)/2+1
	for _, k := range known {
		if d := distance(word, k); d < least {
			best, least = k, d
		}
	}
	if best == "" {
		list := slices.Clone(known)
		slices.Sort(list)
		return "; there are " + strings.Join(list, ", ")
	}
	return "; " + best + " may be meant"
}

// distance is how many letters must change, come or go to make a of b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			d := last
			if a[i] != b[j] {
				d++
			}
			last = row[j+1]
			row[j+1] = min(d, row[j+1]+1, row[j]+1)
		}
	}
	return row[len(b)]
}
