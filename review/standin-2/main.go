// Command standin runs one case of a review: a small deployment of the system's own
// processes on loopback addresses, with stand-ins of the store, the searchers and the
// clients.
//
//	standin CASE RECORD
//
// With TROUBLE=0 in the environment the disruption is left out. The exit code is 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// result codes
const (
	held   = 0
	broken = 1
	failed = 2
)

// setup is what a case gets.
type setup struct {
	root, dir string
	rec       *record
	trouble   bool
}

var cases = map[string]func(*setup) (int, error){
	"answer-lost":    answerLost,
	"log-stalled":    logStalled,
	"seeds-down":     seedsDown,
	"cold-in-outage": coldInOutage,
}

func main() {
	code, err := runCase(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	os.Exit(code)
}

func runCase(args []string) (int, error) {
	if len(args) != 2 || cases[args[0]] == nil {
		return failed, fmt.Errorf("use: standin CASE RECORD")
	}
	root, err := os.Getwd()
	if err != nil {
		return failed, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "wisteriaquay")); err != nil {
		return failed, err
	}
	file, err := os.Create(args[1])
	if err != nil {
		return failed, err
	}
	defer func() { _ = file.Close() }()
	buffered := bufio.NewWriterSize(file, 1<<16)
	defer func() { _ = buffered.Flush() }()
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return failed, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	go endOnSignal(dir)
	s := &setup{root: root, dir: dir, rec: &record{start: time.Now(), w: buffered}, trouble: os.Getenv("TROUBLE") != "0"}
	s.rec.add("case %s, trouble %t", args[0], s.trouble)
	code, err := cases[args[0]](s)
	if err != nil {
		s.rec.add("the case could not run: %s", err)
		return failed, err
	}
	return code, nil
}

// endOnSignal ends the case when it is told to stop. The kernel kills the processes of the
// system with this one, see fleet.start.
func endOnSignal(dir string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	_ = os.RemoveAll(dir)
	os.Exit(failed)
}

// verdict records and prints the outcome.
func (s *setup) verdict(isBroken bool, format string, args ...any) (int, error) {
	text, code := fmt.Sprintf(format, args...), held
	if isBroken {
		text, code = "BROKEN: "+text, broken
	} else {
		text = "held: " + text
	}
	s.rec.add("%s", text)
	fmt.Println(text)
	return code, nil
}
