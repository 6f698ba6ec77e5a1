package cmd

import (
	"net/http"
	"os"
	"strings"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1/ospreymoorv1connect"
	"ospreymoor.example/ospreymoor/pkg/bundle"
)

// bundleCommand groups the commands that put a customer's bundle in force and retire it.
//
//	ospreymoor bundle check|sign-off|roll|retire|list
type bundleCommand struct {
	Check   bundleCheckCommand   `cmd:"" help:"Check bundle files; changes nothing, needs no box."`
	SignOff bundleSignOffCommand `cmd:"" name:"sign-off" help:"Store bundle versions for good."`
	Roll    bundleRollCommand    `cmd:"" help:"Put signed-off versions in force."`
	Retire  bundleRetireCommand  `cmd:"" help:"Take versions in force out of service."`
	List    bundleListCommand    `cmd:"" help:"List the customer's signed-off versions."`
}

// operatorFlags holds the flags that name the box to call and the token of the operator who calls it.
type operatorFlags struct {
	Box   string `name:"box" env:"OSPREYMOOR_BOX" default:"http://127.0.0.1:8080" help:"URL of any entry box."`
	Token string `name:"token" env:"OSPREYMOOR_TOKEN" help:"The operator's token."`
}

// client returns a client of the box's operators' service; its error is an errSettings.
func (f operatorFlags) client() (ospreymoorv1connect.OperatorServiceClient, error) {
	if f.Token == "" {
		return nil, missingSetting("token", "give the token of the customer's operators")
	}
	if !strings.HasPrefix(f.Box, "http://") && !strings.HasPrefix(f.Box, "https://") {
		return nil, invalidSetting("box", f.Box, "give a URL such as http://127.0.0.1:8080")
	}
	return ospreymoorv1connect.NewOperatorServiceClient(http.DefaultClient, f.Box), nil
}

// withToken returns a request that carries the operator's token.
func withToken[T any](f operatorFlags, message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+f.Token)
	return request
}

// forEachBundle reads and checks each file and calls do with its bundle and text. It stops at the first error;
// what do did for earlier files is not undone.
func forEachBundle(files []string, do func(*bundle.Bundle, string) error) error {
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return errors.Annotate(err, "reading the bundle")
		}
		b, err := bundle.Parse(file, text)
		if err != nil {
			return err
		}
		if err := do(b, string(text)); err != nil {
			return errors.Annotatef(err, "%s", file)
		}
	}
	return nil
}
