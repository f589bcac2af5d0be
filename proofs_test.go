package bergamotbank_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// proofsPage lists the proofs of the module with their commands.
const proofsPage = "docs/PROOFS.md"

var (
	// quotedText matches a text between backquotes.
	quotedText = regexp.MustCompile("`([^`]+)`")
	// testCommand matches a test command with a package and the names of its tests.
	testCommand = regexp.MustCompile(`^go test \./(\S+) -run '?([^'\s]+)'?$`)
	// modelPath matches the path of a model and mutantName the name of a mutant.
	modelPath  = regexp.MustCompile(`^spec/\S+\.pml$`)
	mutantName = regexp.MustCompile(`^[A-Z][A-Z_]+$`)
)

func TestProofsPageNamesExistingTests(t *testing.T) {
	convey.Convey("Each command of "+proofsPage+" names tests that exist", t, func() {
		commands := 0
		for _, line := range proofsPageLines() {
			for _, quoted := range quotedTexts(line) {
				if strings.HasPrefix(quoted, "go test") {
					commands++
					convey.So(quoted, namesExistingTests)
				}
			}
		}
		convey.So(commands, convey.ShouldBeGreaterThan, 0)
	})
}

func TestProofsPageNamesExistingModels(t *testing.T) {
	convey.Convey("Each model and mutant of "+proofsPage+" exists", t, func() {
		models := 0
		for _, line := range proofsPageLines() {
			var mutants, sources []string
			for _, quoted := range quotedTexts(line) {
				switch {
				case modelPath.MatchString(quoted):
					source, err := os.ReadFile(filepath.FromSlash(quoted))
					convey.So(err, convey.ShouldBeNil)
					sources = append(sources, string(source))
				case mutantName.MatchString(quoted):
					mutants = append(mutants, quoted)
				}
			}
			models += len(sources)
			for _, mutant := range mutants {
				convey.So(mutant, isMutantOf, sources)
			}
		}
		convey.So(models, convey.ShouldBeGreaterThan, 0)
	})
}

// proofsPageLines returns the lines of proofsPage.
func proofsPageLines() []string {
	page, err := os.ReadFile(filepath.FromSlash(proofsPage))
	convey.So(err, convey.ShouldBeNil)
	return strings.Split(string(page), "\n")
}

// quotedTexts returns the texts between backquotes in a line.
func quotedTexts(line string) []string {
	var texts []string
	for _, match := range quotedText.FindAllStringSubmatch(line, -1) {
		texts = append(texts, match[1])
	}
	return texts
}

// namesExistingTests is an assertion that each alternative of a test command
// matches a test of the package in the command.
func namesExistingTests(actual any, _ ...any) string {
	command, _ := actual.(string)
	match := testCommand.FindStringSubmatch(command)
	if match == nil {
		return fmt.Sprintf("%q is not of the form: go test ./package -run Name", command)
	}
	names, err := testsOf(filepath.FromSlash(match[1]))
	if err != nil {
		return fmt.Sprintf("%q: %v", command, err)
	}
	for _, alternative := range strings.Split(match[2], "|") {
		function, _, _ := strings.Cut(alternative, "/")
		pattern, err := regexp.Compile(function)
		if err != nil {
			return fmt.Sprintf("%q: %v", command, err)
		}
		if !matchesAny(pattern, names) {
			return fmt.Sprintf("%q: no test of ./%s matches %q", command, match[1], function)
		}
	}
	return ""
}

// testsOf returns the names of the test functions in a directory.
func testsOf(dir string) ([]string, error) {
	if _, err := os.Stat(dir); err != nil {
		return nil, err
	}
	paths, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		for _, declaration := range file.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok && isTest(function) {
				names = append(names, function.Name.Name)
			}
		}
	}
	return names, nil
}

// isTest reports whether go test -run executes a function: a test, or a fuzz test
// with its seeds.
func isTest(function *ast.FuncDecl) bool {
	name := function.Name.Name
	if function.Recv != nil || name == "TestMain" {
		return false
	}
	return strings.HasPrefix(name, "Test") || strings.HasPrefix(name, "Fuzz")
}

func matchesAny(pattern *regexp.Regexp, names []string) bool {
	for _, name := range names {
		if pattern.MatchString(name) {
			return true
		}
	}
	return false
}

// isMutantOf is an assertion that one of the models has the mutant.
func isMutantOf(actual any, expected ...any) string {
	mutant, _ := actual.(string)
	sources, _ := expected[0].([]string)
	directive := regexp.MustCompile(`(?m)^#ifn?def ` + regexp.QuoteMeta(mutant) + `$`)
	for _, source := range sources {
		if directive.MatchString(source) {
			return ""
		}
	}
	return "no model named on the same line has the mutant " + mutant
}
