package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/phuslu/log"
)

// hertzLog writes Hertz's own log into the JSON log. The level notice becomes info.
// Fatal becomes error, because a library must not end the process.
type hertzLog struct{ logger atomic.Pointer[log.Logger] }

var _ hlog.FullLogger = (*hertzLog)(nil)

// installHertzLog installs a hertzLog in Hertz and returns it. It does so once,
// because Hertz reads its global loggers without synchronization while servers run.
// Only the destination of the hertzLog changes later.
var installHertzLog = sync.OnceValue(func() *hertzLog {
	h := &hertzLog{}
	h.logger.Store(OrDiscard(nil))
	hlog.SetLogger(h)
	hlog.SetSystemLogger(h)
	return h
})

// RedirectHertz makes logger the destination of Hertz's log. There is one such log
// in a process, so the last call holds.
func RedirectHertz(logger *log.Logger) { installHertzLog().logger.Store(logger) }

func (h *hertzLog) write(level log.Level, v []any) {
	h.logger.Load().WithLevel(level).Str("source", "hertz").Msg(fmt.Sprint(v...))
}

func (h *hertzLog) writef(level log.Level, format string, v []any) {
	h.logger.Load().WithLevel(level).Str("source", "hertz").Msgf(format, v...)
}

// SetLevel has no effect; the level is that of the JSON log.
func (h *hertzLog) SetLevel(hlog.Level) {}

// SetOutput has no effect; the output is that of the JSON log.
func (h *hertzLog) SetOutput(io.Writer) {}

// Trace implements hlog.Logger.
func (h *hertzLog) Trace(v ...any) { h.write(log.TraceLevel, v) }

// Tracef implements hlog.FormatLogger.
func (h *hertzLog) Tracef(f string, v ...any) { h.writef(log.TraceLevel, f, v) }

// CtxTracef implements hlog.CtxLogger.
func (h *hertzLog) CtxTracef(_ context.Context, f string, v ...any) { h.writef(log.TraceLevel, f, v) }

// Debug implements hlog.Logger.
func (h *hertzLog) Debug(v ...any) { h.write(log.DebugLevel, v) }

// Debugf implements hlog.FormatLogger.
func (h *hertzLog) Debugf(f string, v ...any) { h.writef(log.DebugLevel, f, v) }

// CtxDebugf implements hlog.CtxLogger.
func (h *hertzLog) CtxDebugf(_ context.Context, f string, v ...any) { h.writef(log.DebugLevel, f, v) }

// Info implements hlog.Logger.
func (h *hertzLog) Info(v ...any) { h.write(log.InfoLevel, v) }

// Infof implements hlog.FormatLogger.
func (h *hertzLog) Infof(f string, v ...any) { h.writef(log.InfoLevel, f, v) }

// CtxInfof implements hlog.CtxLogger.
func (h *hertzLog) CtxInfof(_ context.Context, f string, v ...any) { h.writef(log.InfoLevel, f, v) }

// Notice implements hlog.Logger.
func (h *hertzLog) Notice(v ...any) { h.write(log.InfoLevel, v) }

// Noticef implements hlog.FormatLogger.
func (h *hertzLog) Noticef(f string, v ...any) { h.writef(log.InfoLevel, f, v) }

// CtxNoticef implements hlog.CtxLogger.
func (h *hertzLog) CtxNoticef(_ context.Context, f string, v ...any) { h.writef(log.InfoLevel, f, v) }

// Warn implements hlog.Logger.
func (h *hertzLog) Warn(v ...any) { h.write(log.WarnLevel, v) }

// Warnf implements hlog.FormatLogger.
func (h *hertzLog) Warnf(f string, v ...any) { h.writef(log.WarnLevel, f, v) }

// CtxWarnf implements hlog.CtxLogger.
func (h *hertzLog) CtxWarnf(_ context.Context, f string, v ...any) { h.writef(log.WarnLevel, f, v) }

// Error implements hlog.Logger.
func (h *hertzLog) Error(v ...any) { h.write(log.ErrorLevel, v) }

// Errorf implements hlog.FormatLogger.
func (h *hertzLog) Errorf(f string, v ...any) { h.writef(log.ErrorLevel, f, v) }

// CtxErrorf implements hlog.CtxLogger.
func (h *hertzLog) CtxErrorf(_ context.Context, f string, v ...any) { h.writef(log.ErrorLevel, f, v) }

// Fatal implements hlog.Logger.
func (h *hertzLog) Fatal(v ...any) { h.write(log.ErrorLevel, v) }

// Fatalf implements hlog.FormatLogger.
func (h *hertzLog) Fatalf(f string, v ...any) { h.writef(log.ErrorLevel, f, v) }

// CtxFatalf implements hlog.CtxLogger.
func (h *hertzLog) CtxFatalf(_ context.Context, f string, v ...any) { h.writef(log.ErrorLevel, f, v) }
