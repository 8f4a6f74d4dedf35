package main

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
)

func TestRunHelpNamesEveryCommand(t *testing.T) {
	var out, errs bytes.Buffer
	must.Eq(t, exitOK, run(t.Context(), console{&out, &errs}, []string{"help"}))
	for _, m := range commands() {
		must.StrContains(t, out.String(), "  "+m.Name)
	}
}

func TestRunRejectsInvalidInputWithRemedy(t *testing.T) {
	for _, args := range [][]string{{"nonsense"}, {"version", "--odd"}, {"query"}, {"serve"}, {"query", "--tenant=a", "--class=b", "--service=c"}} {
		var out, errs bytes.Buffer
		must.Eq(t, exitBadInput, run(t.Context(), console{&out, &errs}, args), must.Sprintf("%v", args))
		must.StrContains(t, errs.String(), "run 'wisteriaquay")
	}
}
