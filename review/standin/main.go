// Command standin runs one case of the review: it starts the instances of a small
// deployment, its store, its replicas and its clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
	noTrouble  = "0" // value of TROUBLE that leaves the disruption out
)

// run runs a case on a deployment. It reports whether the rule was broken.
type run func(d *deployment, trouble bool) (broken bool, err error)

var cases = map[string]run{}

func init() {
	// Children are killed when the thread that started them ends.
	runtime.LockOSThread()
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the root of the repository")
		os.Exit(exitCannot)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(c run, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer os.RemoveAll(dir)
	d, err := newDeployment(dir, rec)
	if err != nil {
		rec.summary("cannot run: %v", err)
		return exitCannot
	}
	defer d.stop()
	trouble := os.Getenv("TROUBLE") != noTrouble
	broken, err := c(d, trouble)
	switch {
	case err != nil:
		rec.summary("cannot run: %v", err)
		return exitCannot
	case broken:
		rec.summary("BROKEN (trouble=%v)", trouble)
		return exitBroken
	}
	rec.summary("held (trouble=%v)", trouble)
	return exitHeld
}
