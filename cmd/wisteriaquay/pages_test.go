package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const repositoryRoot = "../.."

// readFiles returns the texts of the repository's files with a suffix, by path.
func readFiles(t *testing.T, suffix string) map[string]string {
	t.Helper()
	texts := make(map[string]string)
	must.NoError(t, filepath.WalkDir(repositoryRoot, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, suffix) {
			return err
		}
		text, err := os.ReadFile(path)
		texts[path] = string(text)
		return err
	}))
	return texts
}

func TestLinksOnPagesResolve(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)#:]+)\)`)
	for path, text := range readFiles(t, ".md") {
		for _, m := range link.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(path), m[1]))
			test.NoError(t, err, test.Sprintf("%s links to %s", path, m[1]))
		}
	}
}

func TestTestsNamedByPromisesExist(t *testing.T) {
	var tests strings.Builder
	for _, text := range readFiles(t, "_test.go") {
		tests.WriteString(text)
	}
	page, err := os.ReadFile(repositoryRoot + "/docs/PROMISES.md")
	must.NoError(t, err)
	for _, name := range regexp.MustCompile(`(Test|Fuzz)[A-Z][A-Za-z]+`).FindAllString(string(page), -1) {
		test.StrContains(t, tests.String(), "func "+name+"(", test.Sprintf("docs/PROMISES.md names %s", name))
	}
}
