// Package logfield makes the fields of log lines that the logging library would write at too great a
// length. `ospreymoor node` uses it.
package logfield

import "go.uber.org/zap"

// Error is the field of an error's message, without the trace that annotated errors carry. It adds
// nothing to the line if err is nil.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
