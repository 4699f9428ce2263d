package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/buckthorndock/buckthorndock/internal/core/finding"
)

// ParseDocument parses the YAML text of the document at a path. It returns all faults
// together, each with its line and key, and a document only when there are none. Compile
// checks the documents against each other.
func ParseDocument(path string, text []byte) (*Document, finding.List) {
	d := &decoder{file: path, lines: map[string]int{}}
	doc := &Document{}
	if root := d.parse(text); root != nil {
		d.decode("", root, reflect.ValueOf(doc).Elem())
	}
	doc.lines = d.lines
	checkDocument(path, doc, &d.findings)
	d.findings.Sort()
	if len(d.findings) > 0 {
		return nil, d.findings
	}
	return doc, nil
}

// decoder fills typed values from a syntax tree. Unlike the decoder of the YAML library, it
// continues after a fault.
type decoder struct {
	file     string
	lines    map[string]int // by key path
	findings finding.List
}

// parse returns the root node, or nil for an empty text or one with syntax errors.
func (d *decoder) parse(text []byte) ast.Node {
	if len(text) > MaxDocumentBytes {
		d.addf(0, "", "document has %d bytes, more than %d", len(text), MaxDocumentBytes)
		return nil
	}
	if line := nestedTooDeep(text); line > 0 {
		d.addf(line, "", "nested deeper than %d levels", MaxNesting)
		return nil
	}
	file, err := parseYAML(text)
	if err != nil {
		d.addSyntax(err)
		return nil
	}
	if len(file.Docs) == 0 {
		return nil
	}
	if len(file.Docs) > 1 {
		d.addf(lineOf(file.Docs[1].Body), "", "more than one YAML document")
		return nil
	}
	body := file.Docs[0].Body
	if _, comment := body.(*ast.CommentGroupNode); comment {
		return nil
	}
	return body
}

// parseYAML converts a panic of the library's parser into an error: a text from the log must
// never stop a daemon.
func parseYAML(text []byte) (file *ast.File, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the YAML parser failed: %v", r)
		}
	}()
	return parser.ParseBytes(text, 0)
}

// nestedTooDeep returns the line at which brackets, or dashes or question marks on one line,
// nest deeper than MaxNesting, else 0. It protects the stack of the YAML parser, which is
// recursive.
func nestedTooDeep(text []byte) int {
	brackets, deepest := 0, 0
	for i, row := range strings.Split(string(text), "\n") {
		markers := strings.Count(row, "- ") + strings.Count(row, "? ")
		for _, c := range row {
			switch c {
			case '[', '{':
				brackets++
				deepest = max(deepest, brackets)
			case ']', '}':
				brackets--
			}
		}
		if markers > MaxNesting || deepest > MaxNesting {
			return i + 1
		}
	}
	return 0
}

func (d *decoder) addSyntax(err error) {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil {
		d.addf(syntax.Token.Position.Line, "", "%s", syntax.Message)
		return
	}
	d.addf(0, "", "not YAML: %v", err)
}

func (d *decoder) addf(line int, key, format string, args ...any) {
	d.findings.Addf(finding.Place{File: d.file, Line: line, Key: key}, format, args...)
}

func lineOf(n ast.Node) int {
	if n == nil || reflect.ValueOf(n).IsNil() {
		return 0
	}
	t := n.GetToken()
	if t == nil || t.Position == nil {
		return 0
	}
	return t.Position.Line
}

// decode sets v from the node at the key path. v must be settable.
func (d *decoder) decode(key string, n ast.Node, v reflect.Value) {
	switch n.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		d.addf(lineOf(n), key, "anchors, aliases and tags are not supported")
		return
	case *ast.NullNode:
		d.addf(lineOf(n), key, "has no value; leave the key out")
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decode(key, n, v.Elem())
	case reflect.Struct:
		d.decodeStruct(key, n, v)
	case reflect.Slice:
		d.decodeSlice(key, n, v)
	default:
		d.decodeScalar(key, n, v)
	}
}

func (d *decoder) decodeStruct(key string, n ast.Node, v reflect.Value) {
	pairs, ok := mappingPairs(n)
	if !ok {
		d.addf(lineOf(n), key, "must be a mapping of keys to values")
		return
	}
	fields := fieldsByKey(v.Type())
	for _, pair := range pairs {
		name := pair.Key.GetToken().Value
		child := joinKey(key, name)
		index, known := fields[name]
		if !known {
			d.addf(lineOf(pair.Key), child, "unknown key")
			continue
		}
		d.lines[child] = lineOf(pair.Key)
		if pair.Value == nil {
			d.addf(lineOf(pair.Key), child, "has no value; leave the key out")
			continue
		}
		d.decode(child, pair.Value, v.Field(index))
	}
}

func mappingPairs(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	}
	return nil, false
}

// fieldsByKey maps the yaml keys of a struct to its field indexes.
func fieldsByKey(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name != "" {
			fields[name] = i
		}
	}
	return fields
}

func joinKey(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

func (d *decoder) decodeSlice(key string, n ast.Node, v reflect.Value) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addf(lineOf(n), key, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values)))
	for i, item := range seq.Values {
		child := fmt.Sprintf("%s[%d]", key, i)
		d.lines[child] = lineOf(item)
		if item == nil {
			d.addf(lineOf(n), child, "has no value")
			continue
		}
		d.decode(child, item, v.Index(i))
	}
}

func (d *decoder) decodeScalar(key string, n ast.Node, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		d.decodeString(key, n, v)
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			d.addf(lineOf(n), key, "must be true or false")
			return
		}
		v.SetBool(b.Value)
	case reflect.Int:
		d.decodeInt(key, n, v)
	case reflect.Float64:
		d.decodeFloat(key, n, v)
	default:
		panic("settings: schema has a field of kind " + v.Kind().String())
	}
}

// decodeString also accepts numbers, as they are written: 1.10 is a valid version.
func (d *decoder) decodeString(key string, n ast.Node, v reflect.Value) {
	switch s := n.(type) {
	case *ast.StringNode:
		v.SetString(s.Value)
	case *ast.LiteralNode:
		v.SetString(s.Value.Value)
	case *ast.IntegerNode, *ast.FloatNode:
		v.SetString(n.GetToken().Value)
	default:
		d.addf(lineOf(n), key, "must be a text")
	}
}

func (d *decoder) decodeInt(key string, n ast.Node, v reflect.Value) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		d.addf(lineOf(n), key, "must be a whole number")
		return
	}
	parsed, err := strconv.ParseInt(strings.ReplaceAll(i.GetToken().Value, "_", ""), 0, 64)
	if err != nil {
		d.addf(lineOf(n), key, "must be a whole number below %d", int64(MaxCount))
		return
	}
	v.SetInt(parsed)
}

func (d *decoder) decodeFloat(key string, n ast.Node, v reflect.Value) {
	switch n.(type) {
	case *ast.IntegerNode, *ast.FloatNode:
	default:
		d.addf(lineOf(n), key, "must be a number")
		return
	}
	parsed, err := strconv.ParseFloat(strings.ReplaceAll(n.GetToken().Value, "_", ""), 64)
	if err != nil {
		d.addf(lineOf(n), key, "must be a number")
		return
	}
	v.SetFloat(parsed)
}
