// Package logfield builds the log fields that the logging library (zap) would write at too great
// length. Both modes use it.
package logfield

import "go.uber.org/zap"

// Error returns a field with err's message, without the stack trace that annotated errors carry. The
// field adds nothing to the line if err is nil.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
