// Command targets serves the stand-ins for all targets of one availability zone.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/baobabsill/baobabsill/standin/target"
)

func main() {
	config := flag.String("config", "", "JSON file with the zone and its targets")
	flag.Parse()
	if err := run(*config); err != nil {
		fmt.Fprintln(os.Stderr, "targets:", err)
		os.Exit(1)
	}
}

func run(config string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	raw, err := os.ReadFile(config)
	if err != nil {
		return err
	}
	var spec target.ZoneSpec
	if err := json.Unmarshal(raw, &spec); err != nil {
		return fmt.Errorf("%s: %w", config, err)
	}
	z := target.NewZone(spec)
	if err := z.Start(ctx); err != nil {
		return err
	}
	defer z.Close()
	fmt.Println("listening on", z.AdminAddress())
	<-ctx.Done()
	return nil
}
