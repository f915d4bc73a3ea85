package commander

import (
	"net/http"
	"strings"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/caller"
)

// DefaultCallers is the address of the callers' interface that is used when
// none is configured.
const DefaultCallers = "127.0.0.1:7001"

// TeamConnection holds the options of commands that call the callers' interface
// with the key of a team.
type TeamConnection struct {
	At      string `arg:"--at,env:COLTSFOOTLEVER_AT" placeholder:"IP:PORT" help:"callers' address of an entry or of the balancer [default: 127.0.0.1:7001]"`
	KeyFile string `arg:"--team-key-file,env:COLTSFOOTLEVER_TEAM_KEY_FILE" placeholder:"FILE" help:"file that holds the team's key"`
	Key     string `arg:"--,env:COLTSFOOTLEVER_TEAM_KEY" help:"the team's key"`
}

// Caller returns a client of the callers' interface. The address is an IP
// address and port or a URL.
func (f *Factory) Caller(t TeamConnection) *caller.Client {
	address := t.At
	if address == "" {
		address = DefaultCallers
	}
	client := f.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return caller.New(strings.TrimSuffix(address, "/"), client)
}

// ReadKey returns the key of the team, or "" when none is configured.
func (t TeamConnection) ReadKey() (string, error) {
	secret, err := Connection{KeyFile: t.KeyFile, Key: t.Key}.readKey()
	return secret, errors.Annotate(err, "team's key")
}
