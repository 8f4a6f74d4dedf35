package main

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"wisteriaquay/io/wqsetting"
)

// The page lists flag, variable, default and description of each setting as
// `serve --help` does, and no other setting.
func TestOperatorsPageNamesEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATORS.md")
	must.NoError(t, err)
	settings := 0
	groups := reflect.TypeFor[wqsetting.Settings]()
	for i := range groups.NumField() {
		group := groups.Field(i).Type
		for j := range group.NumField() {
			tag := group.Field(j).Tag
			row := fmt.Sprintf("| `--%s` | `%s` | %s | %s |", tag.Get("long"), tag.Get("env"), tag.Get("default"), tag.Get("description"))
			test.StrContains(t, string(page), row)
			settings++
		}
	}
	test.Eq(t, settings, strings.Count(string(page), "| `--"), test.Sprint("the page names a setting that does not exist"))
}
