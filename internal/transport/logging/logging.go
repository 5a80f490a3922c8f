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

// maxErrorText bounds the text of an error in a line, in bytes.
const maxErrorText = 300

// Error is zap.Error for an error whose text may repeat what others sent, at any length.
func Error(err error) zap.Field {
	text := err.Error()
	return zap.String("error", text[:min(len(text), maxErrorText)])
}
