package wqsetting

import (
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqfault"
)

func parseFlags(t *testing.T, args ...string) *Settings {
	t.Helper()
	s := &Settings{}
	_, err := flags.NewParser(s, flags.PassDoubleDash).ParseArgs(args)
	must.NoError(t, err)
	return s
}

func TestValidateAcceptsDefaults(t *testing.T) {
	s := parseFlags(t, "--id=vm1", "--zone=a", "--region=r", "--store=http://127.0.0.1:1", "--vm-list=http://127.0.0.1:2",
		"--plain-text", "--operator-token=0123456789abcdef")
	must.NoError(t, s.Validate())
}

func TestValidateNamesEveryBadSetting(t *testing.T) {
	s := parseFlags(t, "--id=a.b", "--peer-listen=0.0.0.0:1", "--store=ftp://x", "--max-holders=0", "--stop-limit=5s")
	err := s.Validate()
	must.Eq(t, wqfault.BadInput, wqfault.KindOf(err))
	for _, want := range []string{"--id", "--zone", "--region", "--peer-listen", "--store", "--vm-list", "--max-holders", "--stop-limit", "--operator-token", "--peer-key"} {
		must.True(t, strings.Contains(err.Error(), want), must.Sprintf("%s is missing in %s", want, err))
	}
}
