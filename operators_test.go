package bergamotbank_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
)

// operatorsPage documents the error kinds, event kinds and metrics.
const operatorsPage = "docs/OPERATORS.md"

func TestOperatorsPageNamesEveryErrorKind(t *testing.T) {
	convey.Convey("Each error kind has a row with its exit code", t, func() {
		rows := tableRows(t)
		for _, kind := range errkind.Kinds() {
			exit := strconv.Itoa(kind.Properties().ExitCode)
			convey.So(rows, shouldContainRow, "| `"+kind.String()+"` | "+exit+" |")
		}
	})
}

func TestOperatorsPageNamesEveryEventKind(t *testing.T) {
	convey.Convey("Each event kind has a row", t, func() {
		rows := tableRows(t)
		kinds := eventKinds(t)
		convey.So(kinds, convey.ShouldNotBeEmpty)
		for _, kind := range kinds {
			convey.So(rows, shouldContainRow, "| `"+kind+"` |")
		}
	})
}

func TestOperatorsPageNamesEveryMetric(t *testing.T) {
	convey.Convey("Each name that a process publishes has a row", t, func() {
		rows := tableRows(t)
		names := metricNames(t)
		convey.So(names, convey.ShouldNotBeEmpty)
		for _, name := range names {
			convey.So(rows, shouldContainRow, "| `"+name+"` |")
		}
	})
}

// shouldContainRow is an assertion that one of the rows begins with a text.
func shouldContainRow(actual any, expected ...any) string {
	rows, _ := actual.([]string)
	start, _ := expected[0].(string)
	for _, row := range rows {
		if strings.HasPrefix(row, start) {
			return ""
		}
	}
	return operatorsPage + " has no row that begins with " + start
}

// tableRows returns the lines of the page that are rows of tables.
func tableRows(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile(operatorsPage)
	convey.So(err, convey.ShouldBeNil)
	var rows []string
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "|") {
			rows = append(rows, line)
		}
	}
	return rows
}

// eventKinds returns the values of the constants of type Kind in package event.
func eventKinds(t *testing.T) []string {
	t.Helper()
	var kinds []string
	ast.Inspect(parse(t, filepath.Join("event", "event.go")), func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if typeName, ok := spec.Type.(*ast.Ident); !ok || typeName.Name != "Kind" {
			return true
		}
		for _, value := range spec.Values {
			kinds = append(kinds, literal(value))
		}
		return true
	})
	return kinds
}

// metricNames returns the first arguments of all calls of metrics.Publish and
// the name under which package metrics publishes its own counters.
func metricNames(t *testing.T) []string {
	t.Helper()
	names := []string{"events"}
	for _, file := range sourceFiles(t) {
		if file.top != "process" || strings.HasSuffix(file.path, "_test.go") {
			continue
		}
		ast.Inspect(parse(t, file.path), func(node ast.Node) bool {
			call, ok := node.(*ast.CallExpr)
			if ok && isSelector(call.Fun, "metrics", "Publish") {
				names = append(names, literal(call.Args[0]))
			}
			return true
		})
	}
	return names
}

func parse(t *testing.T, path string) *ast.File {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	convey.So(err, convey.ShouldBeNil)
	return file
}

func isSelector(expression ast.Expr, pkg, name string) bool {
	selector, ok := expression.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != name {
		return false
	}
	left, ok := selector.X.(*ast.Ident)
	return ok && left.Name == pkg
}

// literal returns the value of a string literal, or for other expressions a text that no
// page contains.
func literal(expression ast.Expr) string {
	basic, ok := expression.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return "no string literal"
	}
	value, err := strconv.Unquote(basic.Value)
	if err != nil {
		return "no string literal"
	}
	return value
}
