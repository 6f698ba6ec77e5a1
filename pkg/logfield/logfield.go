// Package logfield makes fields of log lines that the logging library writes at too great a length.
package logfield

import "go.uber.org/zap"

// Error is the field of an error's message, without the trace that annotated errors carry;
// nothing if there is no error.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
