// Command standin plays one case of the review: it starts the project's program as
// separate processes on loopback, with stand-ins for the store, the searchers and the
// clients, and checks one rule.
//
// # Usage
//
//	review/bin/standin CASE RECORD
//
// It is run in the root of the repository. The exit code is 1 if the rule was broken, 0
// if it held, and 2 if the case could not run. With TROUBLE=0 in the environment, the
// disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration is the longest time that a case may take.
const maxDuration = 118 * time.Second

// cases are the cases by name. Each returns what broke the rule, empty for nothing.
var cases = map[string]func(w *world) (string, error){
	"status": playStatus,
	"age":    playAge,
	"copy":   playCopy,
	"stop":   playStop,
	"drain":  playDrain,
}

func main() { os.Exit(play(os.Args)) }

func play(args []string) int {
	if len(args) != 3 || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return 2
	}
	w, err := newWorld(os.Getenv("TROUBLE") != "0", args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		return 2
	}
	defer func() { w.end(os.Getenv("KEEP_LOGS") != "") }()
	go endEarly(w)
	broken, err := cases[args[1]](w)
	switch {
	case err != nil:
		w.record("result", "can't run", err)
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		return 2
	case broken != "":
		w.record("result", "broken", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	w.record("result", "held", true)
	fmt.Println("held")
	return 0
}

// endEarly ends all processes and this one when it is interrupted or takes too long.
func endEarly(w *world) {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case <-interrupted:
	case <-time.After(maxDuration):
	}
	fmt.Fprintln(os.Stderr, "the case was ended early")
	w.end(false)
	os.Exit(2)
}
