// Package bergamotbank_test checks rules for the whole module.
package bergamotbank_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// modulePrefix is the prefix of the import paths of the module's packages.
const modulePrefix = "bergamotbank/"

// allowedImports lists the top-level directories that each top-level directory may
// import.
var allowedImports = map[string][]string{
	"errkind":    {"errkind"},
	"event":      {"event"},
	"queue":      {"queue"},
	"version":    {"version", "errkind", "event"},
	"request":    {"request", "version", "errkind", "event", "queue"},
	"connection": {"connection", "version", "errkind", "event", "queue"},
	"process":    {"process", "connection", "request", "version", "errkind", "event"},
	"standin":    {"standin", "errkind"},
	// Only commands import the adapter to the users' platform.
	"platform": {"platform", "process", "connection", "version", "errkind"},
}

// sourceFile is a Go file with its imports.
type sourceFile struct {
	path string
	top  string
	// imports are all import paths. moduleImports are those of packages of this
	// module, without modulePrefix.
	imports       []string
	moduleImports []string
}

func TestImportsFollowLayers(t *testing.T) {
	convey.Convey("No package imports a package of a higher layer", t, func() {
		for _, file := range sourceFiles(t) {
			allowed, checked := allowedImports[file.top]
			if !checked {
				continue
			}
			for _, imported := range file.moduleImports {
				convey.So(file.path+" imports "+imported, importAllowed, imported, allowed)
			}
		}
	})
}

// importAllowed is an assertion that the top-level directory of an import is in a
// list.
func importAllowed(actual any, expected ...any) string {
	imported, _ := expected[0].(string)
	allowed, _ := expected[1].([]string)
	top, _, _ := strings.Cut(imported, "/")
	for _, name := range allowed {
		if name == top {
			return ""
		}
	}
	text, _ := actual.(string)
	return text + ", which is in a higher layer"
}

func TestNoLibraryForClusteringOrProxying(t *testing.T) {
	bannedImports := []string{"github.com/hashicorp/memberlist", "github.com/hashicorp/consul/api"}
	bannedUses := []string{"httputil.ReverseProxy", "httputil.NewSingleHostReverseProxy"}
	convey.Convey("No file uses a library for clustering, discovery or proxying", t, func() {
		for _, file := range sourceFiles(t) {
			for _, imported := range file.imports {
				convey.So(bannedImports, convey.ShouldNotContain, imported)
			}
			if file.path == "layers_test.go" {
				continue
			}
			text, err := os.ReadFile(file.path)
			convey.So(err, convey.ShouldBeNil)
			for _, use := range bannedUses {
				convey.So(strings.Contains(string(text), use), convey.ShouldBeFalse)
			}
		}
	})
}

func sourceFiles(t *testing.T) []sourceFile {
	t.Helper()
	var files []sourceFile
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		top, _, _ := strings.Cut(filepath.ToSlash(path), "/")
		file := sourceFile{path: path, top: top}
		for _, spec := range parsed.Imports {
			name, _ := strconv.Unquote(spec.Path.Value)
			file.imports = append(file.imports, name)
			if own, ok := strings.CutPrefix(name, modulePrefix); ok {
				file.moduleImports = append(file.moduleImports, own)
			}
		}
		files = append(files, file)
		return nil
	})
	convey.So(err, convey.ShouldBeNil)
	return files
}
