package httpserver

import (
	"context"
	"fmt"
	"io"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/hashicorp/go-hclog"
)

// SetLogger makes the HTTP library log to logger. It changes a global of the library
// and is not safe for concurrent use: call it once, before any server starts.
func SetLogger(logger hclog.Logger) {
	hlog.SetLogger(&httpLog{logger: logger})
}

// httpLog adapts an hclog.Logger to the logger interface of the HTTP library. The
// library's Info becomes Debug and its Notice becomes Info; Fatal becomes Error and
// does not end the process.
type httpLog struct {
	logger hclog.Logger
}

var _ hlog.FullLogger = (*httpLog)(nil)

func (l *httpLog) log(level hclog.Level, v ...any) {
	l.logger.Log(level, fmt.Sprint(v...))
}

func (l *httpLog) logf(level hclog.Level, format string, v ...any) {
	l.logger.Log(level, fmt.Sprintf(format, v...))
}

func (l *httpLog) Trace(v ...any)  { l.log(hclog.Trace, v...) }
func (l *httpLog) Debug(v ...any)  { l.log(hclog.Debug, v...) }
func (l *httpLog) Info(v ...any)   { l.log(hclog.Debug, v...) }
func (l *httpLog) Notice(v ...any) { l.log(hclog.Info, v...) }
func (l *httpLog) Warn(v ...any)   { l.log(hclog.Warn, v...) }
func (l *httpLog) Error(v ...any)  { l.log(hclog.Error, v...) }
func (l *httpLog) Fatal(v ...any)  { l.log(hclog.Error, v...) }

func (l *httpLog) Tracef(format string, v ...any)  { l.logf(hclog.Trace, format, v...) }
func (l *httpLog) Debugf(format string, v ...any)  { l.logf(hclog.Debug, format, v...) }
func (l *httpLog) Infof(format string, v ...any)   { l.logf(hclog.Debug, format, v...) }
func (l *httpLog) Noticef(format string, v ...any) { l.logf(hclog.Info, format, v...) }
func (l *httpLog) Warnf(format string, v ...any)   { l.logf(hclog.Warn, format, v...) }
func (l *httpLog) Errorf(format string, v ...any)  { l.logf(hclog.Error, format, v...) }
func (l *httpLog) Fatalf(format string, v ...any)  { l.logf(hclog.Error, format, v...) }

func (l *httpLog) CtxTracef(_ context.Context, format string, v ...any)  { l.Tracef(format, v...) }
func (l *httpLog) CtxDebugf(_ context.Context, format string, v ...any)  { l.Debugf(format, v...) }
func (l *httpLog) CtxInfof(_ context.Context, format string, v ...any)   { l.Infof(format, v...) }
func (l *httpLog) CtxNoticef(_ context.Context, format string, v ...any) { l.Noticef(format, v...) }
func (l *httpLog) CtxWarnf(_ context.Context, format string, v ...any)   { l.Warnf(format, v...) }
func (l *httpLog) CtxErrorf(_ context.Context, format string, v ...any)  { l.Errorf(format, v...) }
func (l *httpLog) CtxFatalf(_ context.Context, format string, v ...any)  { l.Fatalf(format, v...) }

// SetLevel does nothing: the logger's own level applies.
func (l *httpLog) SetLevel(hlog.Level) {}

// SetOutput does nothing: the logger's own output applies.
func (l *httpLog) SetOutput(io.Writer) {}
