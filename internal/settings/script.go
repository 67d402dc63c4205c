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

// Diagnostic describes one error in a script, with its location and what is expected instead.
type Diagnostic struct {
	File    string
	Line    int
	Message string
}

func (d Diagnostic) Error() string { return fmt.Sprintf("%s:%d: %s", d.File, d.Line, d.Message) }

// Diagnostics holds the diagnostics of one script. Its Error method returns one line for each.
type Diagnostics []Diagnostic

func (l Diagnostics) Error() string {
	lines := make([]string, len(l))
	for i, d := range l {
		lines[i] = d.Error()
	}
	return strings.Join(lines, "\n")
}

// Kind is the type of a field's value.
type Kind int

// Kinds of fields.
const (
	Number Kind = iota
	Integer
	Text
	Bool
	NumberList
	TextList
)

func (k Kind) String() string {
	return [...]string{"a number", "an integer", "a string", "True or False", "a list of numbers", "a list of strings"}[k]
}

// Field describes one keyword argument of a form.
type Field struct {
	Name     string
	Kind     Kind
	Required bool
	Default  any     // float64, string, bool, or nil for the zero value of the kind
	Min, Max float64 // bounds of numbers; a Max of 0 means none
	Doc      string
}

// Form describes a function that a script may call, such as box or title, and its fields.
type Form struct {
	Name       string
	Required   bool   // a script must call it at least once
	AtMostOnce bool   // a script must not call it more than once
	Key        string // name of a field whose value must be unique among the calls
	Doc        string
	Fields     []Field
}

// Entry holds the field values of one call.
type Entry struct {
	Line        int
	numbers     map[string]float64
	texts       map[string]string
	numberLists map[string][]float64
	textLists   map[string][]string
	given       map[string]bool
}

// Number, Int, Text, Bool, NumberList and TextList return the value of a field, or its default.
func (e Entry) Number(name string) float64       { return e.numbers[name] }
func (e Entry) Int(name string) int              { return int(e.numbers[name]) }
func (e Entry) Text(name string) string          { return e.texts[name] }
func (e Entry) Bool(name string) bool            { return e.numbers[name] != 0 }
func (e Entry) NumberList(name string) []float64 { return e.numberLists[name] }
func (e Entry) TextList(name string) []string    { return e.textLists[name] }

// Has reports whether the call set a field explicitly.
func (e Entry) Has(name string) bool { return e.given[name] }

// Document holds the calls of a script and the errors found in it.
type Document struct {
	File        string
	entries     map[string][]Entry
	Diagnostics Diagnostics
}

// Entries returns the calls of a form in the order of the script.
func (doc *Document) Entries(form string) []Entry { return doc.entries[form] }

// Single returns the call of a form that is allowed only once. ok is false if there is none.
func (doc *Document) Single(form string) (e Entry, ok bool) {
	if l := doc.entries[form]; len(l) > 0 {
		return l[0], true
	}
	return Entry{numbers: map[string]float64{}}, false
}

// Errorf adds a diagnostic for a line.
func (doc *Document) Errorf(line int, format string, args ...any) {
	if len(doc.Diagnostics) < maxDiagnostics {
		doc.Diagnostics = append(doc.Diagnostics, Diagnostic{doc.File, line, fmt.Sprintf(format, args...)})
	}
}

const (
	maxDiagnostics = 50       // per script
	maxSteps       = 20 << 20 // Starlark execution steps, about a second; stops scripts that never end
	maxCalls       = 20000    // calls of all forms together
)

// ReadFile reads a script from a file for an instance. The error reports a file that can't be read; errors in the script
// are in the document's Diagnostics.
func ReadFile(file string, forms []Form, instance int) (*Document, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	return readInstance(file, src, forms, instance), nil
}

// Read runs a script and collects its calls of the given forms.
func Read(file string, src []byte, forms []Form) *Document { return readInstance(file, src, forms, 0) }

// readInstance runs a script for one of several instances that share it. The script reads its number from the predefined
// variable instance.
func readInstance(file string, src []byte, forms []Form, instance int) *Document {
	doc := &Document{File: file, entries: map[string][]Entry{}}
	predeclared, count := starlark.StringDict{"instance": starlark.MakeInt(instance)}, 0
	for _, f := range forms {
		predeclared[f.Name] = starlark.NewBuiltin(f.Name, func(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kw []starlark.Tuple) (starlark.Value, error) {
			line := int(t.CallFrame(1).Pos.Line)
			if count++; count > maxCalls {
				return nil, fmt.Errorf("more than %d calls", maxCalls)
			}
			if len(args) > 0 {
				doc.Errorf(line, "%s accepts only named fields, as in %s", f.Name, f.example())
				return starlark.None, nil
			}
			doc.addEntry(f, line, kw)
			return starlark.None, nil
		})
	}
	thread := &starlark.Thread{Name: file, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	_, err := starlark.ExecFileOptions(&syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}, thread, file, src, predeclared)
	var syntaxErr syntax.Error
	var evalErr *starlark.EvalError
	switch {
	case err == nil:
	case errors.As(err, &syntaxErr):
		doc.Errorf(int(syntaxErr.Pos.Line), "%s", syntaxErr.Msg)
	case errors.As(err, &evalErr):
		line := 0
		for _, fr := range evalErr.CallStack {
			if fr.Pos.Filename() == file {
				line = int(fr.Pos.Line)
			}
		}
		doc.Errorf(line, "%s", evalErr.Msg)
	default:
		doc.reportUnresolved(err, forms)
	}
	if len(doc.Diagnostics) > 0 && len(doc.entries) == 0 {
		return doc // the script did not run at all: diagnostics for missing calls would only be noise
	}
	for _, f := range forms {
		doc.checkForm(f)
	}
	slices.SortStableFunc(doc.Diagnostics, func(a, b Diagnostic) int { return cmp.Compare(a.Line, b.Line) })
	return doc
}

// reportUnresolved adds a diagnostic for each undefined name in a script and suggests the closest form.
func (doc *Document) reportUnresolved(err error, forms []Form) {
	names := make([]string, len(forms))
	for i, f := range forms {
		names[i] = f.Name
	}
	for _, line := range strings.Split(err.Error(), "\n") {
		n, message := 1, line
		if parts := strings.SplitN(strings.TrimPrefix(line, doc.File+":"), ":", 3); len(parts) == 3 {
			fmt.Sscan(parts[0], &n)
			message = strings.TrimSpace(parts[2])
		}
		if _, name, ok := strings.Cut(message, "undefined: "); ok {
			message = fmt.Sprintf("undefined name %s%s", name, suggest(name, names))
		}
		doc.Errorf(n, "%s", message)
	}
}

// example returns a sample call for diagnostics.
func (f Form) example() string {
	for _, x := range f.Fields {
		if x.Required {
			return fmt.Sprintf("%s(%s = ...)", f.Name, x.Name)
		}
	}
	return f.Name + "()"
}

// addEntry checks one call and adds it to the document.
func (doc *Document) addEntry(f Form, line int, kw []starlark.Tuple) {
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
			doc.Errorf(line, "%s has no field %s%s", f.Name, name, suggest(name, names))
			continue
		}
		e.given[name] = true
		if problem := e.setField(f.Fields[i], pair[1]); problem != "" {
			doc.Errorf(line, "%s: %s %s", f.Name, name, problem)
		}
	}
	for _, x := range f.Fields {
		if x.Required && !e.given[x.Name] {
			doc.Errorf(line, "%s: missing field %s, %s: %s", f.Name, x.Name, x.Kind, x.Doc)
		}
	}
	doc.entries[f.Name] = append(doc.entries[f.Name], e)
}

// setField stores the value of a field. It returns a description of the problem if the value is invalid.
func (e Entry) setField(x Field, v starlark.Value) string {
	wrongKind := fmt.Sprintf("is %s; want %s: %s", truncate(v.String()), x.Kind, x.Doc)
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
			return fmt.Sprintf("is %v; the minimum is %v", n, x.Min)
		case x.Max > 0 && n > x.Max:
			return fmt.Sprintf("is %v; the maximum is %v", n, x.Max)
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
			return "must not be empty: " + x.Doc
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
		for element := starlark.Value(nil); it.Next(&element); {
			if t, is := starlark.AsString(element); is && x.Kind == TextList {
				e.textLists[x.Name] = append(e.textLists[x.Name], t)
				continue
			}
			n, is := number(element)
			if !is || x.Kind == TextList {
				return wrongKind
			}
			if problem := checkRange(n); problem != "" {
				return "has an element that " + problem
			}
			e.numberLists[x.Name] = append(e.numberLists[x.Name], n)
		}
		if x.Required && len(e.numberLists[x.Name])+len(e.textLists[x.Name]) == 0 {
			return "must not be empty: " + x.Doc
		}
	}
	return ""
}

// checkForm checks the number of calls of a form and the uniqueness of its key.
func (doc *Document) checkForm(f Form) {
	list := doc.entries[f.Name]
	if f.Required && len(list) == 0 {
		doc.Errorf(1, "%s is missing: %s, as in %s", f.Name, f.Doc, f.example())
	}
	if f.AtMostOnce && len(list) > 1 {
		doc.Errorf(list[1].Line, "%s is allowed only once; the first call is on line %d", f.Name, list[0].Line)
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
		if line, duplicate := seen[k]; duplicate {
			doc.Errorf(e.Line, "duplicate %s %s; the first one is on line %d", f.Name, k, line)
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

// suggest returns a hint to append to a message about an unknown word: the known word closest to it or, if none is
// close, all of them.
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
		return "; known names: " + strings.Join(list, ", ")
	}
	return "; did you mean " + best + "?"
}

// editDistance returns the Levenshtein distance of a and b in bytes.
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
