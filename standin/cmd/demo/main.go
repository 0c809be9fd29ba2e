// Command demo runs deployments of baobabsill as processes on loopback, from callers
// to targets, and prints what callers, targets and operators see. It exits with a
// non-zero status if an invariant was broken or the demo failed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// demoTimeout ends a demo that hangs. A complete run takes less than 90 s.
const demoTimeout = 110 * time.Second

func main() {
	bin := flag.String("bin", "bin", "directory of the programs")
	only := flag.String("only", "", "run only this deployment: huber or wrapline")
	keep := flag.Bool("keep", false, "keep the directory with settings and logs")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	begin := time.Now()
	checks := newChecks()
	err := runAll(ctx, *bin, *only, *keep, checks)
	cancel()
	stop()
	checks.print(os.Stdout)
	fmt.Printf("\nThe demo took %.0f s.\n", time.Since(begin).Seconds())
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
	}
	if err != nil || checks.anyBroken() {
		os.Exit(1)
	}
}

func runAll(ctx context.Context, bin, only string, keep bool, checks *checks) error {
	for _, d := range []struct {
		name string
		run  func(context.Context, *deployment) error
	}{{"huber", runHuber}, {"wrapline", runWrapline}} {
		if only != "" && only != d.name {
			continue
		}
		if err := runDeployment(ctx, bin, d.name, keep, checks, d.run); err != nil {
			return fmt.Errorf("%s: %w", d.name, err)
		}
	}
	return nil
}

// runDeployment runs the demo of one deployment in a temporary directory. It ends all
// processes of the deployment in any case.
func runDeployment(ctx context.Context, bin, name string, keep bool, checks *checks, run func(context.Context, *deployment) error) error {
	bin, err := filepath.Abs(bin)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "baobabsill-"+name+"-")
	if err != nil {
		return err
	}
	if keep {
		fmt.Println("settings and logs:", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := newDeployment(ctx, bin, dir, name, checks)
	if err != nil {
		return err
	}
	defer d.cluster.Close()
	if err := d.start(ctx); err != nil {
		return err
	}
	if err := run(ctx, d); err != nil {
		return err
	}
	return d.finish(ctx)
}
