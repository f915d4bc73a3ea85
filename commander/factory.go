package commander

import (
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/operator"
)

// DefaultEntry is the address of the entry that is called when none is
// configured.
const DefaultEntry = "127.0.0.1:8080"

type (
	// Factory provides commands with their input and output streams and with
	// clients for entries.
	Factory struct {
		In       io.Reader
		Out      io.Writer
		Err      io.Writer
		Terminal bool         // whether Out is a terminal
		HTTP     *http.Client // client for all calls; nil for the default client
	}

	// Connection holds the options of commands that call an entry as an
	// operator.
	Connection struct {
		Entry   []string `arg:"--entry,separate,env:COLTSFOOTLEVER_ENTRY" placeholder:"IP:PORT" help:"entry to call; may be given several times, then the first that can be reached is used [default: 127.0.0.1:8080]"`
		KeyFile string   `arg:"--key-file,env:COLTSFOOTLEVER_KEY_FILE" placeholder:"FILE" help:"file that holds the operator key"`
		Key     string   `arg:"--,env:COLTSFOOTLEVER_KEY" help:"operator key"`
	}

	// Output holds the options of commands that print results.
	Output struct {
		JSON bool `arg:"--json" help:"print JSON"`
	}
)

// NewFactory returns a Factory that uses the standard streams of the process.
func NewFactory() *Factory {
	return &Factory{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: isTerminal(os.Stdout)}
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// Client returns a client for the entries that the connection names.
func (f *Factory) Client(c Connection) (*operator.Client, error) {
	key, err := c.readKey()
	if err != nil {
		return nil, errors.Trace(err)
	}
	entries := c.Entry
	if len(entries) == 0 {
		entries = []string{DefaultEntry}
	}
	var opts []operator.ClientOption
	if f.HTTP != nil {
		opts = append(opts, operator.WithHTTPClient(f.HTTP))
	}
	return operator.NewClient(entries, key, opts...), nil
}

func (c Connection) readKey() (string, error) {
	if c.KeyFile == "" {
		return c.Key, nil
	}
	data, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return "", errors.Annotate(err, "reading the operator key")
	}
	return strings.TrimSpace(string(data)), nil
}
