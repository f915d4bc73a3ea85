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

// Stdin names the standard input as a file.
const Stdin = "-"

const numberLine = "# rules number %d\n"

// RulesFile is a rules file that has been read and checked.
type RulesFile struct {
	Name   string
	Text   []byte
	Rules  *parser.Rules
	Base   uint64 // number in the first line
	Marked bool   // the first line has a number
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
	n, _ := fmt.Sscanf(string(firstLine(text)), numberLine, &file.Base)
	file.Marked = n == 1
	return file, nil
}

// ReadInput reads the body of a request from a file or, for Stdin, from the
// input. A larger one than an entry takes is an error.
func (f *Factory) ReadInput(name string) ([]byte, error) {
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
	if name != Stdin {
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

// NumberLine returns the first line of a file that holds the rules with a
// number.
func NumberLine(number uint64) string {
	return fmt.Sprintf(numberLine, number)
}

// Renumber writes the number into the first line of the file, if one was there
// and the file is not the standard input.
func (r *RulesFile) Renumber(number uint64) error {
	if !r.Marked || r.Name == Stdin || number == r.Base {
		return nil
	}
	info, err := os.Stat(r.Name)
	if err != nil {
		return errors.Trace(err)
	}
	text := append([]byte(NumberLine(number)), r.Text[len(firstLine(r.Text)):]...)
	return errors.Trace(os.WriteFile(r.Name, text, info.Mode().Perm()))
}
