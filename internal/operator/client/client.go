// Package client speaks the operators' HTTP interface.
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

// tries bounds how often a call is repeated over the servers. Orders carry a
// change ID, so a repeat after a lost answer is the same order.
const tries = 3

// retryPause is the wait before a repeat.
const retryPause = 200 * time.Millisecond

// Options say how to reach the entry VMs. Servers is required.
type Options struct {
	Servers  []string // host:port or URLs; tried in order
	Token    string   // empty where the deployment has no tokens
	Operator string   // the name to give where it has none
	HTTP     *http.Client
}

// Client calls one of several entry VMs, any of which will do. It is safe for
// concurrent use.
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

// ProblemError is an answer that is a problem document.
type ProblemError struct {
	Problem api.Problem
}

// Error implements error.
func (e *ProblemError) Error() string { return e.Problem.Detail }

// UnreachableError reports that no entry VM answered. Where Sent is true a
// request may have been carried out.
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

// Change sends a declaration to be checked, compared or applied.
func (c *Client) Change(ctx context.Context, req api.DeclarationRequest) (api.ChangeReply, error) {
	var reply api.ChangeReply
	return reply, c.call(ctx, http.MethodPost, api.PathDeclaration, req, &reply)
}

// InForce returns which entry VMs hold the generation.
func (c *Client) InForce(ctx context.Context, generation uint64) (api.InForceReply, error) {
	var reply api.InForceReply
	path := api.PathInForce + "?generation=" + strconv.FormatUint(generation, 10)
	return reply, c.call(ctx, http.MethodGet, path, nil, &reply)
}

// Query asks one question; d goes with a "what-if declaration".
func (c *Client) Query(ctx context.Context, text string, d *model.Declaration) (api.QueryReply, error) {
	var reply api.QueryReply
	return reply, c.call(ctx, http.MethodPost, api.PathQuery, api.QueryRequest{Text: text, Declaration: d}, &reply)
}

// Do gives one order.
func (c *Client) Do(ctx context.Context, req api.DoRequest) (api.DoReply, error) {
	var reply api.DoReply
	return reply, c.call(ctx, http.MethodPost, api.PathDo, req, &reply)
}

// AuditQuery selects entries of the trail.
type AuditQuery struct {
	Since, Until time.Time
	Who, What    string
	Limit        int
}

// Audit returns a part of the trail.
func (c *Client) Audit(ctx context.Context, q AuditQuery) (api.AuditReply, error) {
	values := url.Values{}
	set := func(name, value string) {
		if value != "" {
			values.Set(name, value)
		}
	}
	set("since", timeText(q.Since))
	set("until", timeText(q.Until))
	set("who", q.Who)
	set("what", q.What)
	if q.Limit > 0 {
		set("limit", strconv.Itoa(q.Limit))
	}
	var reply api.AuditReply
	return reply, c.call(ctx, http.MethodGet, api.PathAudit+"?"+values.Encode(), nil, &reply)
}

func timeText(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339Nano)
}

// Status returns how an entry VM stands.
func (c *Client) Status(ctx context.Context) (api.StatusReply, error) {
	var reply api.StatusReply
	return reply, c.call(ctx, http.MethodGet, api.PathStatus, nil, &reply)
}

func (c *Client) call(ctx context.Context, method, path string, body, reply any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return err
		}
	}
	var last error
	sent := false
	for i := range max(tries, len(c.Servers)) {
		if i >= len(c.Servers) && !pause(ctx) {
			break
		}
		err := c.once(ctx, c.Servers[i%len(c.Servers)], method, path, encoded, reply)
		var refused *ProblemError
		if err == nil || errors.As(err, &refused) && !again(refused.Problem) {
			return settled(err, refused, sent && method == http.MethodPost)
		}
		if refused != nil {
			last = err
			continue
		}
		sent = sent || !notSent(err)
		last = &UnreachableError{Sent: sent && method == http.MethodPost, Err: err}
		if ctx.Err() != nil {
			break
		}
	}
	return last
}

// settled keeps a refusal from being taken for the whole truth: where an
// earlier try may have been carried out, "unavailable" says nothing of it.
func settled(err error, refused *ProblemError, mayBeDone bool) error {
	if refused != nil && mayBeDone && refused.Problem.Status == http.StatusServiceUnavailable {
		return &UnreachableError{Sent: true, Err: err}
	}
	return err
}

// again reports whether repeating the call can help: the outcome of an order
// is settled by repeating it under its change ID.
func again(p api.Problem) bool { return p.Code == api.CodeUnknown }

func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryPause):
		return true
	}
}

// notSent reports whether the request certainly never left: no connection came
// to stand.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) once(ctx context.Context, server, method, path string, body []byte, reply any) error {
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
