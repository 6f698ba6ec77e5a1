package quarantine

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// MarshalLogObject writes the part and the crashes that count against it.
func (v PartVerdict) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("part", v.Part.String())
	encoder.AddInt("crashes", v.Crashes)
	zap.Strings("crashedUpstreams", v.Upstreams).AddTo(encoder)
	encoder.AddDuration("crashAge", v.Age)
	encoder.AddDuration("answeredAge", v.AnsweredAge)
	encoder.AddInt("level", v.Level)
	encoder.AddString("source", string(v.Source))
	return nil
}
