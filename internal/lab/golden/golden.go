// Package golden tests stored and transmitted formats: it compares current encodings with files that an earlier version wrote. A struct
// whose field is renamed must keep the key that other versions and programs use.
package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "rewrite the golden files; use only when a format changes on purpose")

// maxDepth bounds the recursion into types that contain themselves.
const maxDepth = 8

// Filled returns a T with all exported fields set, so that its JSON encoding contains every key. Strings, numbers and booleans get fixed
// values, slices and maps one entry.
func Filled[T any]() T {
	var v T
	fill(reflect.ValueOf(&v).Elem(), 0)
	return v
}

// fill sets v, and the values that it contains, to fixed values.
func fill(v reflect.Value, depth int) {
	if !v.CanSet() || depth > maxDepth {
		return
	}
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(1, 0).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(1)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(1)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), depth+1)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), depth+1)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, depth+1)
		fill(value, depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), depth+1)
		}
	}
}

// JSON fails the test unless the values, keyed by label, encode to the contents of the golden file testdata/NAME.
func JSON(t testing.TB, name string, values map[string]any) {
	t.Helper()
	raw, err := json.MarshalIndent(values, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	Bytes(t, name, append(raw, '\n'))
}

// Bytes fails the test unless got equals the contents of the golden file testdata/NAME.
func Bytes(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: the encoding has changed; want\n%s\ngot\n%s", path, want, got)
	}
}
