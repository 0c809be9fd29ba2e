// Command baobabsillctl is the operators' command of baobabsill.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/baobabsill/baobabsill/internal/ctl"
	"github.com/baobabsill/baobabsill/internal/platform"
	edgeplatform "github.com/baobabsill/baobabsill/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, ctl.Env{
		Stdin:    os.Stdin,
		Stdout:   os.Stdout,
		Stderr:   os.Stderr,
		ReadFile: os.ReadFile,
		NewPlatform: func(address string, timeout time.Duration) ctl.Platform {
			return platform.NewClient(address, timeout)
		},
		NewEdgeStore: func(address string) ctl.EdgeStore { return edgeplatform.NewStore(address, nil) },
		HTTP:         &http.Client{},
		Pause:        200 * time.Millisecond,
	}, os.Args[1:])
	stop()
	os.Exit(code)
}
