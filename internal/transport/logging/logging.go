// Package logging sets up logging in JSON lines.
package logging

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes JSON lines of at least level to w.
func New(w io.Writer, level zapcore.Level) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey = "time"
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.AddSync(w), level)
	return zap.New(core)
}
