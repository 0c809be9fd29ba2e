package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/baobabsill/baobabsill/internal/release"
)

const help = `Operators' commands of baobabsill.

Exit codes: 0 done or already in force; 1 failure; 2 bad input; 3 conflict, nothing was changed; 4 unknown outcome, the change may be in force; 5 platform unavailable, nothing was changed.`

// Run runs one command line, without the program name, and returns the exit
// code. It is not safe for concurrent use with the same Env.
func Run(ctx context.Context, env Env, args []string) int {
	app := kingpin.New("baobabsillctl", help)
	app.UsageWriter(env.Stdout)
	app.ErrorWriter(env.Stderr)
	app.Version(release.Version)
	// Parse continues after --help and --version, and would print the help again.
	terminated := false
	app.Terminate(func(int) {
		terminated = true
		app.UsageWriter(io.Discard)
	})

	address := app.Flag("platform", "Platform address, IP:port or URL.").Envar("BAOBABSILL_PLATFORM").String()
	timeout := app.Flag("timeout", "Limit of each call to the platform or to an instance.").Default("2s").Duration()
	asJSON := app.Flag("json", "Print one JSON document instead of tables.").Bool()

	var file, name, instances string
	var version int64
	fileArg := func(c *kingpin.CmdClause) *kingpin.CmdClause {
		c.Arg("file", "Configuration in JSON; - is standard input.").Required().StringVar(&file)
		return c
	}
	expect := int64(-1)
	expectFlag := func(c *kingpin.CmdClause) *kingpin.CmdClause {
		c.Flag("expect", "Change only if this version is in force (0: none).").Default("-1").Int64Var(&expect)
		return c
	}
	fileArg(app.Command("validate", "Check a configuration without the platform."))
	fileArg(app.Command("diff", "Show what applying a configuration would change."))
	expectFlag(fileArg(app.Command("apply", "Replace the configuration.")))
	statusCommand := app.Command("status", "Show instances, zones and targets.")
	statusCommand.Flag("instances", "Caller addresses to ask instead of the instances that the platform lists.").StringVar(&instances)
	zone := app.Command("zone", "Take an availability zone out, or back in.")
	zone.Command("out", "Send no new work to the zone.").Arg("zone", "Zone.").Required().StringVar(&name)
	zone.Command("in", "Send work to the zone again.").Arg("zone", "Zone.").Required().StringVar(&name)
	target := app.Command("target", "Change one target.")
	target.Command("retire", "Send no new work to the target, for good.").Arg("name", "Target.").Required().StringVar(&name)
	app.Command("history", "List the versions of the configuration.")
	rollbackCommand := expectFlag(app.Command("rollback", "Make the content of an old version a new version."))
	rollbackCommand.Arg("version", "Version of the history.").Required().Int64Var(&version)

	explainCommand := app.Command("explain", "Show what the logs of instances say about one request.")
	explainCommand.Arg("id", "Identifier of the request.").Required().StringVar(&name)
	logFiles := explainCommand.Arg("log", "Log of an instance; - is standard input.").Required().Strings()
	edgesCommand := app.Command("edges", "Show what instances on the users' platform, and its store, hold.")
	edgesCommand.Flag("instances", "Metrics addresses of the instances.").StringVar(&instances)
	edgesCommand.Flag("store", "Address of the store, IP:port.").StringVar(&file)

	var command string
	err := errors.New("no command given")
	// Without arguments, kingpin would print the help and report success, which a
	// script would take for a change that was made.
	if len(args) > 0 {
		command, err = app.Parse(args)
	}
	if terminated {
		return 0
	}
	finish := func(r Result) int {
		r.Command = command
		render(r, *asJSON, env.Stdout, env.Stderr)
		return r.Outcome.ExitCode()
	}
	if err != nil {
		return finish(Result{Outcome: BadInput, Message: err.Error() + "; try --help"})
	}
	if *timeout < time.Millisecond {
		return finish(Result{Outcome: BadInput, Message: fmt.Sprintf("--timeout %v is too short", *timeout)})
	}
	if expect < -1 {
		return finish(Result{Outcome: BadInput, Message: fmt.Sprintf("--expect %d is not a version", expect)})
	}
	if command == "validate" {
		return finish(validate(env, file))
	}
	if command == "explain" {
		return finish(explain(env, name, *logFiles))
	}
	if command == "edges" {
		return finish(reportEdges(ctx, env, file, addressList(instances), *timeout))
	}
	var c *configs
	if *address != "" {
		c = &configs{platform: env.NewPlatform(*address, *timeout), pause: env.Pause}
	}
	addresses := addressList(instances)
	if c == nil && (command != "status" || addresses == nil) {
		return finish(Result{Outcome: BadInput, Message: "no platform address: set --platform or BAOBABSILL_PLATFORM"})
	}
	switch command {
	case "diff":
		return finish(c.diff(ctx, env, file))
	case "apply":
		return finish(c.apply(ctx, env, file, expect))
	case "status":
		return finish(reportStatus(ctx, c, env.HTTP, addresses, *timeout))
	case "zone out", "zone in":
		return finish(c.setZoneOut(ctx, name, command == "zone out"))
	case "target retire":
		return finish(c.retireTarget(ctx, name))
	case "history":
		return finish(c.listHistory(ctx))
	case "rollback":
		return finish(c.rollback(ctx, version, expect))
	}
	return finish(Result{Outcome: BadInput, Message: "unknown command " + command})
}

// addressList splits addresses that are separated by commas.
func addressList(s string) []string {
	var list []string
	for _, a := range strings.Split(s, ",") {
		if a = strings.TrimSpace(a); a != "" {
			list = append(list, a)
		}
	}
	return list
}
