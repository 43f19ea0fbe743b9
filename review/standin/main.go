// Command standin plays one case of the review: a small deployment of the system on loopback addresses, with a
// platform, workers and clients that keep to the users' pages.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held     = 0
	broke    = 1
	unplayed = 2
)

var cases = map[string]func(*world) int{
	// of the folders review/N
	"moved": playMoved, "ends": playEnds, "newroute": playNewRoute, "starved": playStarved,
	// found besides; see review/REPORT.md
	"rollback": playRollback, "occurrences": playOccurrences, "failing": playFailing, "pending": playPending, "crash": playCrash, "deadly": playDeadly,
}

func main() {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM FOLDER TROUBLE")
		os.Exit(unplayed)
	}
	w, err := newWorld(os.Args[2], os.Args[3], os.Args[4] != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unplayed)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.close()
		os.Exit(unplayed)
	}()
	time.AfterFunc(110*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		w.close()
		os.Exit(unplayed)
	})
	code := cases[os.Args[1]](w)
	w.close()
	os.Exit(code)
}

// fail reports that a case could not be played.
func (w *world) fail(format string, args ...any) int {
	w.log(format, args...)
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	return unplayed
}

// deploy starts the workers and the members, and waits until the members are ready.
func (w *world) deploy(members, workers int, cpu, mem int64) bool {
	if err := w.addWorkers(workers, cpu, mem); err != nil {
		w.log("%v", err)
		return false
	}
	for range members {
		if _, err := w.addMember(); err != nil {
			w.log("%v", err)
			return false
		}
	}
	return w.awaitReady(20e9)
}
