package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pumicestage/pumicestage/internal/operator/client"
)

// Exit statuses.
const (
	exitDone    = 0
	exitRefused = 1 // refused, failed or not in force everywhere
	exitUsage   = 2 // the command line makes no sense
)

// The forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// defaultServer is the first entry VM of a deployment on loopback.
const defaultServer = "127.0.0.1:18180"

// cli holds what the verbs share: the flags of every verb and the streams.
type cli struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer

	servers   []string
	output    string
	tokenFile string
	timeout   time.Duration
	tls       tlsFlags
}

func newCLI(stdin io.Reader, stdout, stderr io.Writer) *cli {
	return &cli{stdin: stdin, stdout: stdout, stderr: stderr}
}

// usageError reports a command line that makes no sense.
type usageError struct {
	detail string
}

// Error implements error.
func (e *usageError) Error() string { return e.detail }

// actionError marks an error of a verb that ran, against one of the command
// line's.
type actionError struct {
	err error
}

// Error implements error.
func (e *actionError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *actionError) Unwrap() error { return e.err }

// run runs one command line and returns the exit status.
func run(args []string, c *cli) int {
	app := c.application()
	for _, add := range verbs {
		add(app, c)
	}
	_, err := app.Parse(args)
	var ran *actionError
	var usage *usageError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &ran) && !errors.As(err, &usage):
		fmt.Fprintf(c.stderr, "pumicestage: %v\n", ran.err)
		return exitRefused
	default:
		fmt.Fprintf(c.stderr, "pumicestage: %v (see pumicestage --help)\n", err)
		return exitUsage
	}
}

func (c *cli) application() *kingpin.Application {
	app := kingpin.New("pumicestage", "Fleet capacity and maintenance manager: the operators' command line.")
	app.UsageWriter(c.stdout).ErrorWriter(c.stderr)
	app.Flag("server", "Operator address of an entry VM, HOST:PORT or URL; may be given more than once, any one will do.").
		Envar("PUMICESTAGE_SERVER").Default(defaultServer).StringsVar(&c.servers)
	app.Flag("output", "Form of the output.").Short('o').Default(outputTable).EnumVar(&c.output, outputTable, outputJSON)
	app.Flag("token-file", "File with the operator's token.").Envar("PUMICESTAGE_TOKEN_FILE").StringVar(&c.tokenFile)
	app.Flag("timeout", "How long one call may take.").Default("30s").DurationVar(&c.timeout)
	c.tls.add(app)
	return app
}

// action wraps a verb's work for kingpin.
func action(f func(ctx context.Context) error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if err := f(context.Background()); err != nil {
			return &actionError{err: err}
		}
		return nil
	}
}

// client returns a client for the servers of the command line.
func (c *cli) client() (*client.Client, error) {
	token, err := c.token()
	if err != nil {
		return nil, err
	}
	httpClient, err := c.tls.client()
	if err != nil {
		return nil, err
	}
	var servers []string
	for _, list := range c.servers {
		for _, s := range strings.Split(list, ",") {
			servers = append(servers, c.tls.url(s))
		}
	}
	return client.New(client.Options{Servers: servers, Token: token, Operator: loginName(), HTTP: httpClient}), nil
}

// token reads the token's file. A token is never taken from the command line,
// where every process of the machine could read it.
func (c *cli) token() (string, error) {
	if c.tokenFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(c.tokenFile)
	if err != nil {
		return "", err
	}
	return strings.TrimSpace(string(text)), nil
}

func loginName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// call runs f under the timeout of the command line.
func (c *cli) call(ctx context.Context, f func(ctx context.Context, cl *client.Client) error) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return f(ctx, cl)
}
