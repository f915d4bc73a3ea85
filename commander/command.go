// Package commander implements the operators' command line. Most commands are a
// group, such as "pool", followed by a command of the group, such as "list".
// Each command is in its own package below the package of its group; this
// package holds the code that the commands share.
package commander

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

const exitHelp = `Exit codes:
  0  done
  1  failed; nothing was changed unless the message says otherwise
  2  the command line is wrong
  3  the rules have faults
  4  the rules have been changed by someone else in the meantime
  5  accepted, but some entries have not confirmed it yet
  6  no operator key, or one that is not in force
  7  no entry could be reached
  8  the outcome is unknown: look before another attempt
  9  the rules are valid, but there are warnings about them
`

type (
	// Command is one word of the command line. A group has Commands; any other
	// command has Run.
	Command struct {
		Name     string
		Short    string // one-line description for the list of commands
		Long     string
		Example  string // one example per line
		Options  any    // pointer to a struct that go-arg fills; nil for no options
		Run      func(ctx context.Context) error
		Commands []*Command
	}

	// UsageError reports a command line that is not valid.
	UsageError struct {
		Program string
		Message string
	}
)

// Error implements error.
func (e *UsageError) Error() string {
	return fmt.Sprintf("%s\nSee '%s --help'", e.Message, e.Program)
}

// Execute finds the command below root that args name, parses its options and
// runs it.
func Execute(ctx context.Context, f *Factory, root *Command, args []string) error {
	cmd, program := root, root.Name
	for len(cmd.Commands) > 0 {
		if len(args) == 0 || isHelp(args[0]) {
			cmd.writeGroupHelp(f.Out, program)
			return nil
		}
		next := cmd.subcommand(args[0])
		if next == nil {
			return &UsageError{program, fmt.Sprintf("unknown command %q for %q; allowed: %s", args[0], program, cmd.subcommandNames())}
		}
		cmd, program, args = next, program+" "+next.Name, args[1:]
	}
	parsed, err := cmd.parseOptions(f, program, args)
	if err != nil || !parsed {
		return err
	}
	return errors.Trace(cmd.Run(ctx))
}

func isHelp(word string) bool {
	return word == "--help" || word == "-h" || word == "help"
}

func (c *Command) subcommand(name string) *Command {
	for _, sub := range c.Commands {
		if sub.Name == name {
			return sub
		}
	}
	return nil
}

func (c *Command) subcommandNames() string {
	names := make([]string, 0, len(c.Commands))
	for _, sub := range c.Commands {
		names = append(names, sub.Name)
	}
	return strings.Join(names, ", ")
}

// parseOptions parses the options. It returns false when the user asked for
// help, which it writes.
func (c *Command) parseOptions(f *Factory, program string, args []string) (bool, error) {
	options := c.Options
	if options == nil {
		options = &struct{}{}
	}
	p, err := arg.NewParser(arg.Config{Program: program}, options)
	if err != nil {
		return false, errors.Trace(err)
	}
	err = p.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		c.writeCommandHelp(f.Out, p)
		return false, nil
	case err != nil:
		return false, &UsageError{program, err.Error()}
	}
	return true, nil
}

func (c *Command) writeCommandHelp(w io.Writer, p *arg.Parser) {
	fmt.Fprintf(w, "%s\n\n", c.description())
	p.WriteHelp(w)
	c.writeExample(w)
	fmt.Fprintf(w, "\n%s", exitHelp)
}

func (c *Command) writeGroupHelp(w io.Writer, program string) {
	fmt.Fprintf(w, "%s\n\nUsage: %s COMMAND\n\nCommands:\n", c.description(), program)
	for _, sub := range c.Commands {
		fmt.Fprintf(w, "  %-12s %s\n", sub.Name, sub.Short)
	}
	c.writeExample(w)
	fmt.Fprintf(w, "\nUse '%s COMMAND --help' for more on a command.\n", program)
}

func (c *Command) description() string {
	if c.Long != "" {
		return c.Long
	}
	return c.Short
}

func (c *Command) writeExample(w io.Writer) {
	if c.Example == "" {
		return
	}
	fmt.Fprintln(w, "\nExamples:")
	for _, text := range strings.Split(strings.TrimSpace(c.Example), "\n") {
		fmt.Fprintf(w, "  %s\n", text)
	}
}
