package bundle

import (
	"time"

	"github.com/docker/go-units"
	"github.com/juju/errors"
)

// Size is a number of bytes, written as 14GiB or 512MiB.
type Size int64

// UnmarshalYAML parses a size with its unit.
func (s *Size) UnmarshalYAML(decode func(any) error) error {
	var text string
	if err := decode(&text); err != nil {
		return errors.Annotate(err, "write a size as 14GiB")
	}
	bytes, err := units.RAMInBytes(text)
	if err != nil {
		// The message names the remedy; the cause would add nothing.
		return errors.Errorf("size %q: write it as 14GiB or 512MiB", text)
	}
	*s = Size(bytes)
	return nil
}

// Duration is a time.Duration, written as 880ms or 1m30s.
type Duration time.Duration

// UnmarshalYAML parses a duration with its unit.
func (d *Duration) UnmarshalYAML(decode func(any) error) error {
	var text string
	if err := decode(&text); err != nil {
		return errors.Annotate(err, "write a duration as 880ms")
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		// The message names the remedy; the cause would add nothing.
		return errors.Errorf("duration %q: write it as 880ms or 1m30s", text)
	}
	*d = Duration(duration)
	return nil
}
