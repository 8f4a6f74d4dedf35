package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const checkedConfiguration = `{"version": 2,
 "routes": [{"name": "one", "hostname": "h", "prefix": "/one/", "routeType": "safe", "timeoutMs": 1000, "targetLatencyMs": 200, "service": "s", "maxAttempts": 2}],
 "services": [{"name": "s", "maxConnections": 30}],
 "tenants": [{"name": "verhaegen", "apiKeys": ["sekret-1", "sekret-2"]}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4096, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}`

// Guards against exit codes on which a deployment script would act wrongly, and against
// keys in the output.
func TestCheckConfigurationExitCodes(t *testing.T) {
	directory := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(directory, name)
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	good := write("good", checkedConfiguration)
	older := write("older", strings.Replace(checkedConfiguration, `"version": 2`, `"version": 1`, 1))
	lost := write("lost", strings.NewReplacer(`"version": 2`, `"version": 1`, `"sekret-1"`, `"sekret-1", "sekret-0"`).Replace(checkedConfiguration))
	bad := write("bad", strings.Replace(checkedConfiguration, `"sekret-1"`, `"sekret-2"`, 1))
	accounts := write("accounts", strings.Replace(checkedConfiguration, `"tenants": [`, `"tenants": [{"name": "verhaegen", "ratePerS": -1, "apiKeys": ["sekret-2", "sekret-2", ""], "sekret-3": 1}, `, 1))
	kind := write("kind", strings.Replace(checkedConfiguration, `["sekret-1", "sekret-2"]`, `"sekret-1"`, 1))
	settings := write("settings", "nodeName = \"a\"\nzone = \"a\"\n[listenAddrs]\nfront = \"h:1\"\nready = \"h:2\"\n[platform]\naddress = \"h:3\"\n[bounds]\nretryBudgetRatio = 0.2\n")
	for name, c := range map[string]struct {
		args []string
		want int
		text string
	}{
		"clean":                   {[]string{good}, 0, "0 errors, 0 warnings, 0 changes"},
		"clean against an older":  {[]string{"--against", older, good}, 0, "0 errors, 0 warnings, 0 changes"},
		"warnings":                {[]string{"--against", good, older}, 1, "not higher"},
		"warnings of access lost": {[]string{"--against", lost, good}, 1, "keys: 0 added, 1 removed"},
		"warnings of the budget":  {[]string{"--settings", settings, good}, 1, "over the retry budget"},
		"errors":                  {[]string{bad}, 2, `tenants[0].apiKeys ("verhaegen")`},
		"errors in JSON":          {[]string{"--format", "json", bad}, 2, `"path": "tenants[0].apiKeys"`},
		"errors of accounts":      {[]string{"--against", good, accounts}, 2, `tenants[1].name ("verhaegen")`},
		"errors of types":         {[]string{"--against", kind, kind}, 2, "tenants.apiKeys"},
		"missing file":            {[]string{filepath.Join(directory, "none")}, 3, "name a readable file"},
		"no JSON":                 {[]string{write("text", "version 2")}, 3, "line 1, column 1"},
		"in force can't be read":  {[]string{"--against", directory, good}, 3, "name a readable file"},
		"standard input twice":    {[]string{"--against", "-", "-"}, 3, "one configuration only"},
		"unknown format":          {[]string{"--format", "xml", good}, 3, "xml"},
		"help":                    {[]string{"--help"}, 0, "--against"},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			must.Eq(t, c.want, run(t.Context(), console{Out: &out, Err: &out}, append([]string{"check-configuration"}, c.args...)))
			must.StrContains(t, out.String(), c.text)
			must.StrNotContains(t, out.String(), "sekret")
			digest := sha256.Sum256([]byte("sekret-2"))
			must.StrNotContains(t, strings.ToLower(out.String()), hex.EncodeToString(digest[:4]))
		})
	}
	var out strings.Builder
	must.Eq(t, 1, run(t.Context(), console{Out: &out, Err: &out}, []string{"check-configuration", "--format=json", "--against", lost, good}))
	var report map[string]any
	must.NoError(t, json.Unmarshal([]byte(out.String()), &report))
	must.MapContainsKeys(t, report, []string{"errors", "warnings", "findings", "access_lost", "changes"})
}
