package state

import (
	"bytes"
	"os"
	"reflect"
	"testing"
)

// testdata/version-1 is a value in the released format, with every field set. A Go field that is renamed without a json
// tag, or changes its type, would be read as zero from a file that an earlier version wrote.
func TestStoredFieldNames(t *testing.T) {
	want, err := os.ReadFile("testdata/version-1")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Decode(want)
	if err != nil {
		t.Fatal(err)
	}
	requireSet(t, "", reflect.ValueOf(s))
	got, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("written as\n%s\nread from\n%s", got, want)
	}
}

// requireSet reports every field of v, at any depth, that is zero or an empty list.
func requireSet(t *testing.T, path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			requireSet(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		if v.Len() == 0 {
			t.Errorf("field %s is empty", path)
		}
		for i := range v.Len() {
			requireSet(t, path, v.Index(i))
		}
	default:
		if v.IsZero() {
			t.Errorf("field %s is not set", path)
		}
	}
}
