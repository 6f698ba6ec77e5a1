package bundle

import (
	"encoding/json"
	"time"

	"github.com/docker/go-units"
	"github.com/juju/errors"
)

// Size is a number of bytes, written as 14GiB or 512MiB.
type Size int64

// UnmarshalYAML reads a size with its unit.
func (s *Size) UnmarshalYAML(decode func(any) error) error {
	var text string
	if err := decode(&text); err != nil {
		return errors.Annotate(err, "write a size as 14GiB")
	}
	bytes, err := units.RAMInBytes(text)
	if err != nil {
		return errors.Errorf("size %q: write it as 14GiB or 512MiB", text)
	}
	*s = Size(bytes)
	return nil
}

// MarshalYAML writes a size with its unit.
func (s Size) MarshalYAML() (any, error) { return s.String(), nil }

// String is the size with its unit.
func (s Size) String() string { return units.BytesSize(float64(s)) }

// Duration is a time.Duration, written as 880ms or 1m30s.
type Duration time.Duration

// UnmarshalYAML reads a duration with its unit.
func (d *Duration) UnmarshalYAML(decode func(any) error) error {
	var text string
	if err := decode(&text); err != nil {
		return errors.Annotate(err, "write a duration as 880ms")
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("duration %q: write it as 880ms or 1m30s", text)
	}
	*d = Duration(duration)
	return nil
}

// MarshalYAML writes a duration with its unit.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// MarshalJSON writes a duration in nanoseconds, as time.Duration does.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d)) }
