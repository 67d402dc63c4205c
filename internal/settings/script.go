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
	Line        int
	numbers     map[string]float64
	texts       map[string]string
	numberLists map[string][]float64
	textLists   map[string][]string
	given       map[string]bool
}

// Number, Int, Text, Flag, Numbers and Texts are a field's value, or its default.
func (e Entry) Number(name string) float64       { return e.numbers[name] }
func (e Entry) Int(name string) int              { return int(e.numbers[name]) }
func (e Entry) Text(name string) string          { return e.texts[name] }
func (e Entry) Bool(name string) bool            { return e.numbers[name] != 0 }
func (e Entry) NumberList(name string) []float64 { return e.numberLists[name] }
func (e Entry) TextList(name string) []string    { return e.textLists[name] }

// Has tells whether a field was given.
func (e Entry) Has(name string) bool { return e.given[name] }

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
	if len(s.Diagnostics) < maxDiagnostics {
		s.Diagnostics = append(s.Diagnostics, Diagnostic{s.File, line, fmt.Sprintf(format, args...)})
	}
}

const (
	maxDiagnostics = 50       // told of one script; the rest follow once these are mended
	maxSteps       = 20 << 20 // of a script's run: a second or so, for scripts that never end
	maxCalls       = 20000    // calls in all
)

// ReadFile reads a script from a file for an instance. The error is the file's; mistakes are in the sheet.
func ReadFile(file string, forms []Form, instance int) (*Document, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	return readInstance(file, src, forms, instance), nil
}

// Read runs a script and takes the calls that its forms allow.
func Read(file string, src []byte, forms []Form) *Document { return readInstance(file, src, forms, 0) }

// readInstance is Read for one of many instances of one script, which knows its number by the name instance.
func readInstance(file string, src []byte, forms []Form, instance int) *Document {
	s := &Document{File: file, entries: map[string][]Entry{}}
	known, count := starlark.StringDict{"instance": starlark.MakeInt(instance)}, 0
	for _, f := range forms {
		known[f.Name] = starlark.NewBuiltin(f.Name, func(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kw []starlark.Tuple) (starlark.Value, error) {
			line := int(t.CallFrame(1).Pos.Line)
			if count++; count > maxCalls {
				return nil, fmt.Errorf("over %d calls", maxCalls)
			}
			if len(args) > 0 {
				s.Errorf(line, "%s takes named fields only, as in %s", f.Name, f.example())
				return starlark.None, nil
			}
			s.addEntry(f, line, kw)
			return starlark.None, nil
		})
	}
	thread := &starlark.Thread{Name: file, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
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
		s.reportUnresolved(err, forms)
	}
	if len(s.Diagnostics) > 0 && len(s.entries) == 0 {
		return s // it did not run at all: what is missing would only be noise
	}
	for _, f := range forms {
		s.checkForm(f)
	}
	slices.SortStableFunc(s.Diagnostics, func(a, b Diagnostic) int { return cmp.Compare(a.Line, b.Line) })
	return s
}

// reportUnresolved names each unknown name of a script and the nearest one that there is.
func (s *Document) reportUnresolved(err error, forms []Form) {
	names := make([]string, len(forms))
	for i, f := range forms {
		names[i] = f.Name
	}
	for _, line := range strings.Split(err.Error(), "\n") {
		n, message := 1, line
		if parts := strings.SplitN(strings.TrimPrefix(line, s.File+":"), ":", 3); len(parts) == 3 {
			fmt.Sscan(parts[0], &n)
			message = strings.TrimSpace(parts[2])
		}
		if _, name, ok := strings.Cut(message, "undefined: "); ok {
			message = fmt.Sprintf("there is no %s%s", name, suggest(name, names))
		}
		s.Errorf(n, "%s", message)
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

// addEntry reads one call.
func (s *Document) addEntry(f Form, line int, kw []starlark.Tuple) {
	e := Entry{Line: line, numbers: map[string]float64{}, texts: map[string]string{}, numberLists: map[string][]float64{},
		textLists: map[string][]string{}, given: map[string]bool{}}
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
			s.Errorf(line, "%s has no field %s%s", f.Name, name, suggest(name, names))
			continue
		}
		e.given[name] = true
		if problem := e.setField(f.Fields[i], pair[1]); problem != "" {
			s.Errorf(line, "%s: %s %s", f.Name, name, problem)
		}
	}
	for _, x := range f.Fields {
		if x.Required && !e.given[x.Name] {
			s.Errorf(line, "%s needs %s: %s, %s", f.Name, x.Name, x.Kind, x.Doc)
		}
	}
	s.entries[f.Name] = append(s.entries[f.Name], e)
}

// setField takes one value; what is wrong with it comes back in words.
func (e Entry) setField(x Field, v starlark.Value) string {
	wrongKind := fmt.Sprintf("is %s; %s belongs there: %s", truncate(v.String()), x.Kind, x.Doc)
	number := func(v starlark.Value) (float64, bool) {
		if _, is := v.(starlark.Bool); is {
			return 0, false
		}
		n, ok := starlark.AsFloat(v)
		return n, ok && !math.IsNaN(n) && !math.IsInf(n, 0)
	}
	checkRange := func(n float64) string {
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
			return wrongKind
		}
		e.numbers[x.Name] = n
		return checkRange(n)
	case Text:
		t, ok := starlark.AsString(v)
		if !ok {
			return wrongKind
		}
		if e.texts[x.Name] = t; x.Required && t == "" {
			return "is empty; " + x.Doc + " belongs there"
		}
	case Bool:
		b, ok := v.(starlark.Bool)
		if !ok {
			return wrongKind
		}
		if e.numbers[x.Name] = 0; bool(b) {
			e.numbers[x.Name] = 1
		}
	case NumberList, TextList:
		list, ok := v.(starlark.Iterable)
		if !ok {
			return wrongKind
		}
		it := list.Iterate()
		defer it.Done()
		for one := starlark.Value(nil); it.Next(&one); {
			if t, is := starlark.AsString(one); is && x.Kind == TextList {
				e.textLists[x.Name] = append(e.textLists[x.Name], t)
				continue
			}
			n, is := number(one)
			if !is || x.Kind == TextList {
				return wrongKind
			}
			if problem := checkRange(n); problem != "" {
				return "has an entry that " + problem
			}
			e.numberLists[x.Name] = append(e.numberLists[x.Name], n)
		}
		if x.Required && len(e.numberLists[x.Name])+len(e.textLists[x.Name]) == 0 {
			return "is empty; " + x.Doc + " belongs there"
		}
	}
	return ""
}

// checkForm checks a form's calls together.
func (s *Document) checkForm(f Form) {
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
		} else if e.given[f.Key] {
			seen[k] = e.Line
		}
	}
}

func truncate(s string) string {
	if len(s) > 40 {
		return s[:37] + "..."
	}
	return s
}

// suggest names the known word that a mistaken one is closest to, if any is close.
func suggest(word string, known []string) string {
	best, minDistance := "", len(word)/2+1
	for _, k := range known {
		if d := editDistance(word, k); d < minDistance {
			best, minDistance = k, d
		}
	}
	if best == "" {
		list := slices.Clone(known)
		slices.Sort(list)
		return "; there are " + strings.Join(list, ", ")
	}
	return "; " + best + " may be meant"
}

// editDistance is how many letters must change, come or go to make a of b.
func editDistance(a, b string) int {
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
