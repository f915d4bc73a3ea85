// Package submit implements the command "job submit".
package submit

import (
	"context"

	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/caller"
	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

type (
	// Options holds the options of the command "job submit".
	Options struct {
		commander.TeamConnection
		commander.Output
		Name       string        `arg:"--name" help:"name of the request; a repeat with the same name does not run again [default: a new one]"`
		Urgent     bool          `arg:"--urgent" help:"urgent rather than background work"`
		Idempotent bool          `arg:"--idempotent" help:"the work may run more than once"`
		Deadline   time.Duration `arg:"--deadline" default:"1m" help:"time by which the answer is of use"`
		Slots      int           `arg:"--slots" default:"1" help:"slots on one worker"`
		Queue      string        `arg:"positional,required" help:"queue of the rules"`
		Body       string        `arg:"positional" default:"-" help:"file with the request, or - for the standard input"`

		factory *commander.Factory
	}

	result struct {
		Job    string `json:"job"`
		Name   string `json:"name"`
		Worker string `json:"worker"`
		Output []byte `json:"output"` // base64
	}
)

// New returns the command "job submit".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:    "submit",
		Short:   "hand in a job and wait for its answer",
		Long:    "Hands in a job and prints its answer. Without an answer the exit code and the message give the verdict.",
		Example: "$ echo '{\"sleep-ms\": 200}' | coltsfootlever job submit inquiries\n$ coltsfootlever job submit --urgent --idempotent inquiries request.json",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	secret, err := opts.ReadKey()
	if err != nil {
		return errors.Trace(err)
	}
	body, err := opts.factory.ReadRequestBody(opts.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.Name == "" {
		opts.Name = uuid.Must(uuid.NewV7()).String()
	}
	reply, err := opts.factory.Caller(opts.TeamConnection).Submit(ctx, opts.request(secret, body))
	if err != nil {
		return errors.Annotatef(err, "job named %s", opts.Name)
	}
	if opts.JSON {
		return opts.factory.PrintJSON(result{Job: reply.Job, Name: opts.Name, Worker: reply.Worker, Output: reply.Output})
	}
	_, err = opts.factory.Out.Write(reply.Output)
	return errors.Trace(err)
}

func (o *Options) request(secret string, body []byte) caller.Request {
	class := scheduler.Background
	if o.Urgent {
		class = scheduler.Urgent
	}
	return caller.Request{
		Queue:      o.Queue,
		Key:        secret,
		Name:       o.Name,
		Class:      class,
		Idempotent: o.Idempotent,
		Deadline:   o.Deadline,
		Slots:      o.Slots,
		Body:       body,
	}
}
