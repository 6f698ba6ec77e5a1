package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// ErrInvalid means that a bundle's text is invalid; the message says where and how to correct it.
const ErrInvalid = errors.ConstError("bundle invalid")

// maxTextBytes bounds a bundle's text, in bytes. The text is stored as one value of at most
// kv.MaxValueBytes, which is the platform's bound, and its encoding as JSON may be longer.
const maxTextBytes = kv.MaxValueBytes / 2

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	weightPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$`)
)

// Parse parses and checks a bundle and fills in defaults. source names the text in errors, for
// instance by a file's name. The error is ErrInvalid.
func Parse(source string, text []byte) (*Bundle, error) {
	if len(text) > maxTextBytes {
		return nil, invalidf("%s: %d bytes, at most %d: split the customer's models over two customers", source, len(text), maxTextBytes)
	}
	var b Bundle
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := decoder.Decode(&b); err != nil {
		return nil, invalidf("%s:\n%s\ncorrect the marked line; examples/ shows each field", source, yaml.FormatError(err, false, true))
	}
	b.fillDefaults()
	if err := b.check(); err != nil {
		return nil, errors.Annotatef(err, "%s", source)
	}
	return &b, nil
}

// invalidf returns an ErrInvalid with a formatted message.
func invalidf(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), ErrInvalid)
}

// check returns an error for the first invalid field.
func (b *Bundle) check() error {
	if !namePattern.MatchString(b.Customer) {
		return invalidf("customer %q: use 1 to 63 lower-case letters, digits and dashes", b.Customer)
	}
	if b.Version == 0 {
		return invalidf("version: give a number above 0, higher than the one in force")
	}
	checks := []func() error{b.checkCallers, b.checkLimits, b.checkModels, b.checkAdapters, b.checkServices}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bundle) checkCallers() error {
	if len(b.Callers) == 0 {
		return invalidf("callers: name at least one, with its token-sha256")
	}
	names := newNameSet("caller")
	for _, caller := range b.Callers {
		if err := names.add(caller.Name); err != nil {
			return err
		}
		sum, err := hex.DecodeString(caller.TokenSHA256)
		if err != nil || len(sum) != sha256.Size {
			return invalidf("caller %s: token-sha256 takes 64 hex digits, from printf %%s TOKEN | sha256sum", caller.Name)
		}
	}
	return nil
}

func (b *Bundle) checkLimits() error {
	if err := b.Limits.check("customer"); err != nil {
		return err
	}
	for _, model := range b.Models {
		if err := model.Limits.check("model " + model.Name); err != nil {
			return err
		}
	}
	for _, service := range b.Services {
		if err := service.Limits.check("service " + service.Name); err != nil {
			return err
		}
	}
	return nil
}

func (l Limits) check(owner string) error {
	if l.RequestsPerSecond < 0 || l.InFlight < 0 || l.Weight < 0 {
		return invalidf("%s: limits are 0 (none) or above", owner)
	}
	return nil
}

func (b *Bundle) checkModels() error {
	names := newNameSet("model")
	for _, model := range b.Models {
		if err := names.add(model.Name); err != nil {
			return err
		}
		if err := checkWeights("model "+model.Name, model.Weights, model.Memory); err != nil {
			return err
		}
		if model.FirstToken <= 0 || model.BetweenTokens <= 0 {
			return invalidf("model %s: give first-token and between-tokens, such as 880ms and 37ms", model.Name)
		}
		if model.Objective <= 0 || model.Objective >= 1 {
			return invalidf("model %s: objective is a share between 0 and 1, such as 0.95", model.Name)
		}
	}
	return nil
}

func (b *Bundle) checkAdapters() error {
	names := newNameSet("adapter")
	for _, adapter := range b.Adapters {
		if err := names.add(adapter.Model + "/" + adapter.Name); err != nil {
			return err
		}
		if _, ok := b.Model(adapter.Model); !ok {
			return invalidf("adapter %s: model %q is not in the bundle; add it or correct the name", adapter.Name, adapter.Model)
		}
		if err := checkWeights("adapter "+adapter.Name, adapter.Weights, adapter.Memory); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bundle) checkServices() error {
	names := newNameSet("service")
	for _, service := range b.Services {
		if err := names.add(service.Name); err != nil {
			return err
		}
		if service.Pool == "" {
			return invalidf("service %s: name the pool of upstreams that run it", service.Name)
		}
		for _, call := range service.NotRepeatable {
			if call.Method == "" || call.Path == "" || call.Path[0] != '/' {
				return invalidf("service %s: a not-repeatable call takes a method and a path that begins with /", service.Name)
			}
		}
	}
	return nil
}

func checkWeights(owner, weights string, memory Size) error {
	if !weightPattern.MatchString(weights) {
		return invalidf("%s: weights %q: use letters, digits, dots, dashes and underscores", owner, weights)
	}
	if memory <= 0 {
		return invalidf("%s: give memory, such as 14GiB", owner)
	}
	return nil
}

// nameSet detects invalid and duplicate names of one kind.
type nameSet struct {
	kind string
	seen map[string]bool
}

func newNameSet(kind string) nameSet { return nameSet{kind: kind, seen: map[string]bool{}} }

func (n nameSet) add(name string) error {
	base := name[strings.LastIndexByte(name, '/')+1:]
	if !namePattern.MatchString(base) {
		return invalidf("%s %q: use 1 to 63 lower-case letters, digits and dashes", n.kind, base)
	}
	if n.seen[name] {
		return invalidf("%s %s stands twice: remove or rename one", n.kind, name)
	}
	n.seen[name] = true
	return nil
}
