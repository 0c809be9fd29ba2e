// Command link forwards connections between availability zones, with delays and faults
// that the demo, the bench and the tests choose.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/baobabsill/baobabsill/standin/link"
)

func main() {
	config := flag.String("config", "", "JSON file with the routes and delays")
	flag.Parse()
	if err := run(*config); err != nil {
		fmt.Fprintln(os.Stderr, "link:", err)
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
	var spec link.Spec
	if err := json.Unmarshal(raw, &spec); err != nil {
		return fmt.Errorf("%s: %w", config, err)
	}
	return link.New(spec).Serve(ctx, func(address string) { fmt.Println("listening on", address) })
}
