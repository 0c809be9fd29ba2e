// Command standin-2 runs the cases of the second review that cannot be put as a day. It
// starts the project's program as the deploy file does, with stand-ins for the store, the
// replicas and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(d *deployment, root string, trouble bool) (broken bool, err error){
	"trailer":  trailer,
	"smuggled": smuggled,
	"removed":  removed,
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *root, *path))
}

func run(name, root, path string) int {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.Close() //nolint:errcheck // the lines are written
	rec := &record{out: f, start: time.Now()}
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	d, err := newDeployment(rec)
	if err != nil {
		rec.printf("not run: %v", err)
		return exitNotRun
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %v", name, trouble)
	broken, err := play(d, root, trouble)
	switch {
	case err != nil:
		rec.printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		rec.printf("the rule was broken")
		return exitBroken
	}
	rec.printf("the rule held")
	return exitHeld
}
