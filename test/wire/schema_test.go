package wire

import (
	"encoding"
	"reflect"
	"testing"
	"time"
)

// schema describes a type by what gob sends of it: kinds, and names of exported fields.
type schema struct {
	Kind   string  `json:"kind"`           // of reflect.Kind, or "time"
	Len    int     `json:"len,omitempty"`  // of an array
	Key    *schema `json:"key,omitempty"`  // of a map
	Elem   *schema `json:"elem,omitempty"` // of an array, map, pointer or slice
	Fields []field `json:"fields,omitempty"`
}

type field struct {
	Name string  `json:"name"`
	Type *schema `json:"type"`
}

const timeKind = "time"

var (
	timeType      = reflect.TypeFor[time.Time]()
	marshalerType = reflect.TypeFor[encoding.BinaryMarshaler]()
)

var basicTypes = map[string]reflect.Type{
	"bool": reflect.TypeFor[bool](), "string": reflect.TypeFor[string](),
	"int": reflect.TypeFor[int](), "int8": reflect.TypeFor[int8](), "int16": reflect.TypeFor[int16](),
	"int32": reflect.TypeFor[int32](), "int64": reflect.TypeFor[int64](),
	"uint": reflect.TypeFor[uint](), "uint8": reflect.TypeFor[uint8](), "uint16": reflect.TypeFor[uint16](),
	"uint32": reflect.TypeFor[uint32](), "uint64": reflect.TypeFor[uint64](),
	"float32": reflect.TypeFor[float32](), "float64": reflect.TypeFor[float64](),
	timeKind: timeType,
}

func schemaOf(t *testing.T, typ reflect.Type) *schema {
	t.Helper()
	if typ == timeType {
		return &schema{Kind: timeKind}
	}
	if typ.Implements(marshalerType) {
		t.Fatalf("%s encodes itself, which this test does not know", typ)
	}
	s := &schema{Kind: typ.Kind().String()}
	switch typ.Kind() {
	case reflect.Struct:
		for f := range typ.Fields() {
			if f.IsExported() {
				s.Fields = append(s.Fields, field{f.Name, schemaOf(t, f.Type)})
			}
		}
	case reflect.Array:
		s.Len, s.Elem = typ.Len(), schemaOf(t, typ.Elem())
	case reflect.Pointer, reflect.Slice:
		s.Elem = schemaOf(t, typ.Elem())
	case reflect.Map:
		s.Key, s.Elem = schemaOf(t, typ.Key()), schemaOf(t, typ.Elem())
	default:
		if basicTypes[s.Kind] == nil {
			t.Fatalf("%s is of a kind that this test does not know", typ)
		}
	}
	return s
}

// goType returns a type with the schema's fields.
func (s *schema) goType(t *testing.T) reflect.Type {
	t.Helper()
	switch s.Kind {
	case "struct":
		var fields []reflect.StructField
		for _, f := range s.Fields {
			fields = append(fields, reflect.StructField{Name: f.Name, Type: f.Type.goType(t)})
		}
		return reflect.StructOf(fields)
	case "array":
		return reflect.ArrayOf(s.Len, s.Elem.goType(t))
	case "ptr":
		return reflect.PointerTo(s.Elem.goType(t))
	case "slice":
		return reflect.SliceOf(s.Elem.goType(t))
	case "map":
		return reflect.MapOf(s.Key.goType(t), s.Elem.goType(t))
	}
	basic := basicTypes[s.Kind]
	if basic == nil {
		t.Fatalf("unknown kind %q in the golden file", s.Kind)
	}
	return basic
}

// fill sets every exported field within a value, numbers and texts to values that differ.
func fill(t *testing.T, v reflect.Value, last *int) {
	t.Helper()
	*last++
	switch {
	case v.Type() == timeType:
		v.Set(reflect.ValueOf(time.Unix(1_700_000_000+int64(*last), 0).UTC()))
		return
	case v.CanInt():
		v.SetInt(int64(*last))
		return
	case v.CanUint():
		v.SetUint(uint64(*last))
		return
	case v.CanFloat():
		v.SetFloat(float64(*last) + 0.5)
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString("text-" + string(rune('A'+*last%26)) + string(rune('a'+*last/26%26)))
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(t, v.Field(i), last)
			}
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(t, v.Index(i), last)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem(), last)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(t, v.Index(0), last)
		fill(t, v.Index(1), last)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(t, key, last)
		fill(t, value, last)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	default:
		t.Fatalf("%s is of a kind that this test does not know", v.Type())
	}
}
