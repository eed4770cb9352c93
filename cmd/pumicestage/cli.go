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
	exitOK      = 0
	exitFailure = 1 // refused, failed, or not in force on every entry VM
	exitUsage   = 2 // invalid command line
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// defaultServer is the operator address of the first entry VM of a deployment
// on loopback.
const defaultServer = "127.0.0.1:18180"

// cli holds the global flags and the standard streams that all commands share.
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

// usageError reports an invalid command line.
type usageError struct {
	detail string
}

// Error implements error.
func (e *usageError) Error() string { return e.detail }

// actionError marks an error returned by a command that ran, as opposed to an
// error in parsing the command line.
type actionError struct {
	err error
}

// Error implements error.
func (e *actionError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *actionError) Unwrap() error { return e.err }

// run runs one command line and returns the exit status. A usageError counts as
// an invalid command line even if the command had started to run.
func run(args []string, c *cli) int {
	app := c.application()
	for _, add := range commands {
		add(app, c)
	}
	_, err := app.Parse(args)
	var actionErr *actionError
	var usageErr *usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &actionErr) && !errors.As(err, &usageErr):
		fmt.Fprintf(c.stderr, "pumicestage: %v\n", actionErr.err)
		return exitFailure
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

// action adapts f to kingpin and wraps its error in an actionError.
func action(f func(ctx context.Context) error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if err := f(context.Background()); err != nil {
			return &actionError{err: err}
		}
		return nil
	}
}

// client returns a client for the addresses given with --server, each of which
// may be a list separated by commas.
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
			servers = append(servers, c.tls.serverURL(s))
		}
	}
	return client.New(client.Options{Servers: servers, Token: token, Operator: loginName(), HTTP: httpClient}), nil
}

// token reads the operator's token from --token-file; without that flag it is
// empty. The token itself is never a command-line argument, which every process
// on the machine could read.
func (c *cli) token() (string, error) {
	if c.tokenFile == "" {
		return "", nil
	}
	contents, err := os.ReadFile(c.tokenFile)
	if err != nil {
		return "", err
	}
	return strings.TrimSpace(string(contents)), nil
}

// loginName returns the name of the user who runs the command, or an empty
// string if it is not known.
func loginName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// call runs f with a new client and a context that ends after --timeout.
func (c *cli) call(ctx context.Context, f func(ctx context.Context, cl *client.Client) error) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return f(ctx, cl)
}
