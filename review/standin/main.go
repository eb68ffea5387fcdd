// Command standin holds the stand-ins of the review's scripts: the platform's store, engines and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases holds the cases by name. Each returns whether the rule held.
var cases = map[string]func(w *world, trouble bool) (bool, error){}

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	noCheck = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 2 && args[0] == "engine" {
		if err := runEngine(args[1]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return noCheck
		}
		return 0
	}
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE NODE RECORD")
		return noCheck
	}
	rec, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noCheck
	}
	w, err := newWorld(rec, args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noCheck
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		w.close()
		os.Exit(noCheck)
	}()
	ok, err := cases[args[0]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return noCheck
	case ok:
		rec.add("the rule held")
		return held
	}
	rec.add("the rule was broken")
	return broken
}
