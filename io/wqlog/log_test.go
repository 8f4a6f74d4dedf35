package wqlog

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestRateOfLinesIsLimited(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, "vm-1", 1)
	for range 1000 {
		log.Info("noise")
	}
	must.Less(t, 100, strings.Count(out.String(), "\n"))
	log.Error("kept")
	must.StrContains(t, out.String(), `"msg":"kept"`)
	must.StrContains(t, out.String(), `"dropped":`)
}
