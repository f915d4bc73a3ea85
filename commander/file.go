package commander

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/admitter"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// StdinName names the standard input as a file.
const StdinName = "-"

const numberLineFormat = "# rules number %d\n"

// RulesFile is a rules file that has been read and checked.
type RulesFile struct {
	Name    string
	Text    []byte
	Rules   *parser.Rules
	Base    uint64 // number in the first line
	HasBase bool   // the first line has a number
}

// ReadRules reads and checks a rules file. Faults come back as parser.Errors.
func (f *Factory) ReadRules(name string) (*RulesFile, error) {
	// A little more than a rules file may hold, so that Parse reports a longer one.
	text, err := f.read(name, parser.MaxFileBytes+1)
	if err != nil {
		return nil, errors.Trace(err)
	}
	rules, err := parser.Parse(name, bytes.NewReader(text))
	if err != nil {
		return nil, errors.Trace(err)
	}
	file := &RulesFile{Name: name, Text: text, Rules: rules}
	n, _ := fmt.Sscanf(string(firstLine(text)), numberLineFormat, &file.Base)
	file.HasBase = n == 1
	return file, nil
}

// ReadRequestBody reads the body of a request from a file or, for Stdin, from the
// input. A larger one than an entry takes is an error.
func (f *Factory) ReadRequestBody(name string) ([]byte, error) {
	body, err := f.read(name, admitter.DefaultMaxBody+1)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(body) > admitter.DefaultMaxBody {
		return nil, errors.Errorf("%s holds more than %d bytes: send a smaller request", name, admitter.DefaultMaxBody)
	}
	return body, nil
}

func (f *Factory) read(name string, limit int64) ([]byte, error) {
	r := f.In
	if name != StdinName {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer file.Close()
		r = file
	}
	text, err := io.ReadAll(io.LimitReader(r, limit))
	return text, errors.Annotatef(err, "reading %s", name)
}

func firstLine(text []byte) []byte {
	return text[:bytes.IndexByte(text, '\n')+1]
}

// RulesNumberLine returns the first line of a file that holds the rules with a
// number.
func RulesNumberLine(number uint64) string {
	return fmt.Sprintf(numberLineFormat, number)
}

// UpdateNumber writes the number into the first line of the file, if one was there
// and the file is not the standard input.
func (r *RulesFile) UpdateNumber(number uint64) error {
	if !r.HasBase || r.Name == StdinName || number == r.Base {
		return nil
	}
	info, err := os.Stat(r.Name)
	if err != nil {
		return errors.Trace(err)
	}
	text := append([]byte(RulesNumberLine(number)), r.Text[len(firstLine(r.Text)):]...)
	return errors.Trace(os.WriteFile(r.Name, text, info.Mode().Perm()))
}
