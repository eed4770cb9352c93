// Package client is a client of the operators' HTTP API.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/internal/operator/api"
	"github.com/pumicestage/pumicestage/policy/model"
)

// maxAttempts bounds the attempts of a call over all servers. With more servers
// than this, each is tried once. Orders have a change ID, so that an order whose
// response was lost can be sent again without being carried out twice.
const maxAttempts = 3

// retryDelay is the time to wait before a server is tried again.
const retryDelay = 200 * time.Millisecond

// Options configures a Client. Servers is required.
type Options struct {
	Servers  []string     // host:port or URL of entry VMs, tried in this order
	Token    string       // empty if the deployment has no tokens
	Operator string       // name to send in a deployment without tokens
	HTTP     *http.Client // nil means http.DefaultClient
}

// Client sends each call to one of several entry VMs, any of which can answer it.
// Its methods return a ProblemError if the answer is a problem document, and an
// UnreachableError if no entry VM answers. It is safe for concurrent use.
type Client struct {
	Options
}

// New returns a Client.
func New(o Options) *Client {
	if o.HTTP == nil {
		o.HTTP = http.DefaultClient
	}
	return &Client{o}
}

// ProblemError is an error response of an entry VM with a problem document.
type ProblemError struct {
	Problem api.Problem
}

// Error implements error.
func (e *ProblemError) Error() string { return e.Problem.Detail }

// UnreachableError reports that no entry VM answered conclusively. If Sent is
// true, the request may have been carried out.
type UnreachableError struct {
	Sent bool
	Err  error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	if e.Sent {
		return fmt.Sprintf("no answer, the request may have been carried out; repeat it under the same change ID: %v", e.Err)
	}
	return fmt.Sprintf("no entry VM can be reached: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Declaration returns the declaration in force.
func (c *Client) Declaration(ctx context.Context) (api.DeclarationReply, error) {
	var reply api.DeclarationReply
	return reply, c.call(ctx, http.MethodGet, api.PathDeclaration, nil, &reply)
}

// Change checks, compares or applies a declaration, depending on the mode.
func (c *Client) Change(ctx context.Context, req api.DeclarationRequest) (api.ChangeReply, error) {
	var reply api.ChangeReply
	return reply, c.call(ctx, http.MethodPost, api.PathDeclaration, req, &reply)
}

// InForce returns which live entry VMs have the generation in force.
func (c *Client) InForce(ctx context.Context, generation uint64) (api.InForceReply, error) {
	var reply api.InForceReply
	path := api.PathInForce + "?generation=" + strconv.FormatUint(generation, 10)
	return reply, c.call(ctx, http.MethodGet, path, nil, &reply)
}

// Query sends one query. d is only needed for "what-if declaration", else nil.
func (c *Client) Query(ctx context.Context, text string, d *model.Declaration) (api.QueryReply, error) {
	var reply api.QueryReply
	return reply, c.call(ctx, http.MethodPost, api.PathQuery, api.QueryRequest{Text: text, Declaration: d}, &reply)
}

// Do sends one order.
func (c *Client) Do(ctx context.Context, req api.DoRequest) (api.DoReply, error) {
	var reply api.DoReply
	return reply, c.call(ctx, http.MethodPost, api.PathDo, req, &reply)
}

// AuditQuery selects entries of the audit trail. Zero values select all.
type AuditQuery struct {
	Since, Until time.Time
	Who, What    string
	Limit        int
}

// Audit returns the audit entries that match q.
func (c *Client) Audit(ctx context.Context, q AuditQuery) (api.AuditReply, error) {
	values := url.Values{}
	set := func(name, value string) {
		if value != "" {
			values.Set(name, value)
		}
	}
	set("since", formatTime(q.Since))
	set("until", formatTime(q.Until))
	set("who", q.Who)
	set("what", q.What)
	if q.Limit > 0 {
		set("limit", strconv.Itoa(q.Limit))
	}
	var reply api.AuditReply
	return reply, c.call(ctx, http.MethodGet, api.PathAudit+"?"+values.Encode(), nil, &reply)
}

// formatTime returns t in RFC 3339 format, or "" for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339Nano)
}

// Status returns the status of the entry VM that answers.
func (c *Client) Status(ctx context.Context) (api.StatusReply, error) {
	var reply api.StatusReply
	return reply, c.call(ctx, http.MethodGet, api.PathStatus, nil, &reply)
}

// call sends a request to the servers in turn until one gives a final answer and
// decodes it into reply. It tries the next server if a server can't be reached or
// doesn't know the outcome of the order, up to the bound of maxAttempts.
func (c *Client) call(ctx context.Context, method, path string, body, reply any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return err
		}
	}
	var lastErr error
	maybeSent := false
	for i := range max(maxAttempts, len(c.Servers)) {
		if i >= len(c.Servers) && !waitForRetry(ctx) {
			break
		}
		err := c.attempt(ctx, c.Servers[i%len(c.Servers)], method, path, encoded, reply)
		var refused *ProblemError
		if err == nil || errors.As(err, &refused) && !isRetryable(refused.Problem) {
			return finalError(err, refused, maybeSent && method == http.MethodPost)
		}
		if refused != nil {
			lastErr = err
			continue
		}
		maybeSent = maybeSent || !isDialError(err)
		lastErr = &UnreachableError{Sent: maybeSent && method == http.MethodPost, Err: err}
		if ctx.Err() != nil {
			break
		}
	}
	return lastErr
}

// finalError returns the error of a call that ended with err. If an earlier
// attempt may have been carried out, the response "service unavailable" doesn't
// tell its outcome, so an UnreachableError with Sent set is returned instead.
func finalError(err error, refused *ProblemError, maybeExecuted bool) error {
	if refused != nil && maybeExecuted && refused.Problem.Status == http.StatusServiceUnavailable {
		return &UnreachableError{Sent: true, Err: err}
	}
	return err
}

// isRetryable reports whether the outcome is unknown to the server. To repeat the
// order under its change ID tells the outcome.
func isRetryable(p api.Problem) bool { return p.Code == api.CodeUnknown }

// waitForRetry waits for retryDelay. It returns false if ctx ends first.
func waitForRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryDelay):
		return true
	}
}

// isDialError reports whether no connection could be made, so that the request
// was certainly not sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// attempt sends the request once, to one server.
func (c *Client) attempt(ctx context.Context, server, method, path string, body []byte, reply any) error {
	req, err := http.NewRequestWithContext(ctx, method, baseURL(server)+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Accept", "application/json")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if c.Operator != "" {
		req.Header.Set(api.HeaderOperator, c.Operator)
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return decode(res, reply)
}

// decode decodes a successful response into reply. For other responses it returns
// a ProblemError, or a plain error if the body is no problem document.
func decode(res *http.Response, reply any) error {
	if res.StatusCode/100 == 2 {
		return json.NewDecoder(res.Body).Decode(reply)
	}
	text, err := io.ReadAll(io.LimitReader(res.Body, api.MaxBodyBytes))
	if err != nil {
		return err
	}
	p := api.Problem{}
	if json.Unmarshal(text, &p) != nil || p.Code == "" {
		return fmt.Errorf("%s answered %s", res.Request.URL.Host, res.Status)
	}
	return &ProblemError{Problem: p}
}

func baseURL(server string) string {
	if strings.Contains(server, "://") {
		return strings.TrimRight(server, "/")
	}
	return "http://" + server
}
