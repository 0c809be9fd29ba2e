// Package ctl implements the commands of baobabsillctl.
package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/baobabsill/baobabsill/internal/platform"
)

// Platform is the part of the platform's object API that the commands use.
// *platform.Client implements it.
type Platform interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind, name string, value json.RawMessage, ifVersion int64) (int64, error)
	Delete(ctx context.Context, kind, name string, ifVersion int64) error
	List(ctx context.Context, kind string) ([]platform.Object, int64, error)
	Instances(ctx context.Context) ([]platform.TargetItem, error)
}

// Env holds what the commands use of their process, so that tests can replace it.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	ReadFile       func(path string) ([]byte, error)
	// NewPlatform connects to the platform; timeout bounds each call.
	NewPlatform func(address string, timeout time.Duration) Platform
	// NewEdgeStore connects to the store that instances of `baobabsill edge` use.
	NewEdgeStore func(address string) EdgeStore
	// HTTP requests /status of instances.
	HTTP *http.Client
	// Pause is the wait before a write is sent again.
	Pause time.Duration
}

// Outcome is how a command ended.
type Outcome string

// Outcomes of a command.
const (
	OK Outcome = "ok"
	// Unchanged means that the wanted state was already in force.
	Unchanged Outcome = "unchanged"
	Failed    Outcome = "failed"
	BadInput  Outcome = "bad-input"
	// Conflict means that nothing was changed because of a concurrent or
	// earlier change that the operator has not seen.
	Conflict Outcome = "conflict"
	// Unknown means that the change may be in force or come into force later.
	Unknown Outcome = "unknown"
	// Unavailable means that the platform could not be used; nothing was changed.
	Unavailable Outcome = "unavailable"
)

// ExitCode returns the documented exit code of the outcome.
func (o Outcome) ExitCode() int {
	switch o {
	case OK, Unchanged:
		return 0
	case BadInput:
		return 2
	case Conflict:
		return 3
	case Unknown:
		return 4
	case Unavailable:
		return 5
	}
	return 1
}

// Result is what a command reports, and the document that --json prints.
type Result struct {
	Command string  `json:"command"`
	Outcome Outcome `json:"outcome"`
	// Version is the version of config/main that the command left or found.
	Version int64 `json:"version,omitempty"`
	// PreviousVersion is the version that the command replaced.
	PreviousVersion int64    `json:"previous_version,omitempty"`
	Changes         []Change `json:"changes,omitempty"`
	// Message says in one sentence how the command ended.
	Message  string         `json:"message,omitempty"`
	Errors   []string       `json:"errors,omitempty"`
	Warnings []string       `json:"warnings,omitempty"`
	History  []HistoryEntry `json:"history,omitempty"`
	Status   *StatusReport  `json:"status,omitempty"`
	// Explanation is set by the command explain, Edges by the command edges.
	Explanation *Explanation `json:"explanation,omitempty"`
	Edges       *EdgesReport `json:"edges,omitempty"`
}

// platformFailure returns the result of a command that failed in a call to the
// platform before it changed anything. doing names what the call was for.
func platformFailure(doing string, err error) Result {
	r := Result{Outcome: Failed, Message: doing + " failed; nothing was changed", Errors: []string{err.Error()}}
	if platform.ErrUnavailable.Has(err) {
		r.Outcome = Unavailable
		r.Message = doing + ": the platform is unavailable; nothing was changed"
	}
	return r
}
