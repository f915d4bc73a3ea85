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

// StdinName is the file name that stands for the standard input.
const StdinName = "-"

const numberLineFormat = "# rules number %d\n"

// RulesFile is a rules file that has been read and validated.
type RulesFile struct {
	Name    string
	Text    []byte
	Rules   *parser.Rules
	Lines   parser.Lines
	Base    uint64 // number of the rules that the file was edited from, from the first line
	HasBase bool   // whether the first line has such a number
}

// ReadRules reads and validates a rules file. It returns errors in the rules as
// parser.Errors.
func (f *Factory) ReadRules(name string) (*RulesFile, error) {
	// Reads one byte more than a rules file may have, so that Parse reports a file
	// that is too long.
	text, err := f.read(name, parser.MaxFileBytes+1)
	if err != nil {
		return nil, errors.Trace(err)
	}
	rules, lines, err := parser.ParseWithLines(name, bytes.NewReader(text))
	if err != nil {
		return nil, errors.Trace(err)
	}
	file := &RulesFile{Name: name, Text: text, Rules: rules, Lines: lines}
	n, _ := fmt.Sscanf(string(firstLine(text)), numberLineFormat, &file.Base)
	file.HasBase = n == 1
	return file, nil
}

// ReadRequestBody reads the body of a request from a file, or from the standard
// input for StdinName. A body larger than an entry accepts is an error.
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

// RulesNumberLine returns the first line of a rules file that was made from the
// rules with the given number.
func RulesNumberLine(number uint64) string {
	return fmt.Sprintf(numberLineFormat, number)
}

// UpdateNumber replaces the number in the first line of the file. It does
// nothing if the line has no number or if the file is the standard input.
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
