package bergamotbank_test

import (
	"go/ast"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// operationsPage documents the messages and fields of the logs.
const operationsPage = "docs/OPERATIONS.md"

// zapFields holds the field constructors that the platform's roles use.
var zapFields = map[string]bool{
	"String": true, "Stringer": true, "Uint64": true, "Uint32": true, "Uint8": true, "Int": true, "Bool": true,
	"Duration": true, "Float64": true, "Time": true, "ByteString": true,
}

func TestOperationsPageNamesEveryMessageAndField(t *testing.T) {
	convey.Convey("The page lists each message and field of the platform's roles", t, func() {
		text, err := os.ReadFile(operationsPage)
		convey.So(err, convey.ShouldBeNil)
		page := string(text)
		files, err := filepath.Glob("process/passthrough/*.go")
		convey.So(err, convey.ShouldBeNil)
		found := 0
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			ast.Inspect(parse(t, file), func(node ast.Node) bool {
				call, ok := node.(*ast.CallExpr)
				if !ok || len(call.Args) == 0 {
					return true
				}
				if name := loggedName(call); name != "" {
					found++
					convey.So(page, convey.ShouldContainSubstring, "`"+name+"`")
				}
				return true
			})
		}
		convey.So(found, convey.ShouldBeGreaterThan, 50)
	})
}

// loggedName returns the message or the field key that a call logs, or "" for
// other calls.
func loggedName(call *ast.CallExpr) string {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	name, first := selector.Sel.Name, call.Args[0]
	if isSelector(call.Fun, "zap", name) && zapFields[name] {
		return stringLiteral(first)
	}
	if inner, ok := selector.X.(*ast.SelectorExpr); ok && inner.Sel.Name == "logger" {
		if name == "Check" && len(call.Args) == 2 {
			return stringLiteral(call.Args[1])
		}
		return stringLiteral(first)
	}
	if name == "log" {
		return stringLiteral(first)
	}
	return ""
}

// stringLiteral returns the value of a string literal, or "" for other expressions.
func stringLiteral(expression ast.Expr) string {
	if _, ok := expression.(*ast.BasicLit); !ok {
		return ""
	}
	return literal(expression)
}
