package machineapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/httpcall"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Client implements infra.Machines. It is safe for concurrent use.
type Client struct{ http *httpcall.Client }

var _ infra.Machines = (*Client)(nil)

// Options configure a Client.
type Options = httpcall.Options

// New returns a Client. It opens no connection before the first call.
func New(o Options) *Client { return &Client{http: httpcall.New(o)} }

// List implements infra.Machines.
func (c *Client) List(ctx context.Context) (infra.MachineList, error) {
	var res MachineList
	if err := c.get(ctx, "list", PathMachines, &res); err != nil {
		return infra.MachineList{}, err
	}
	out := infra.MachineList{AsOf: res.AsOf}
	for _, m := range res.Machines {
		out.Machines = append(out.Machines, infra.Machine(m))
	}
	return out, nil
}

// Drain implements infra.Machines.
func (c *Client) Drain(ctx context.Context, vm model.VMID, attempt model.AttemptID) error {
	return c.post(ctx, "drain", expandPath(PathDrain, string(vm)), MachineRequest{attempt})
}

// Undrain implements infra.Machines.
func (c *Client) Undrain(ctx context.Context, vm model.VMID, attempt model.AttemptID) error {
	return c.post(ctx, "undrain", expandPath(PathUndrain, string(vm)), MachineRequest{attempt})
}

// Reboot implements infra.Machines.
func (c *Client) Reboot(ctx context.Context, vm model.VMID, attempt model.AttemptID) error {
	return c.post(ctx, "reboot", expandPath(PathReboot, string(vm)), MachineRequest{attempt})
}

// InFlight implements infra.Machines.
func (c *Client) InFlight(ctx context.Context, vm model.VMID) (int, error) {
	var res InFlight
	err := c.get(ctx, "in-flight", expandPath(PathInFlight, string(vm)), &res)
	return res.Count, err
}

// StartTask implements infra.Machines.
func (c *Client) StartTask(ctx context.Context, task infra.Task) error {
	return c.post(ctx, "start task", PathTasks, TaskToWire(task))
}

// RenewTask implements infra.Machines.
func (c *Client) RenewTask(ctx context.Context, attempt model.AttemptID) error {
	return c.post(ctx, "renew task", expandPath(PathRenew, string(attempt)), nil)
}

// StopTask implements infra.Machines.
func (c *Client) StopTask(ctx context.Context, attempt model.AttemptID, checkpoint bool) error {
	return c.post(ctx, "stop task", expandPath(PathStop, string(attempt)), StopRequest{checkpoint})
}

// ThrottleTask implements infra.Machines.
func (c *Client) ThrottleTask(ctx context.Context, attempt model.AttemptID, milliCPU int64) error {
	return c.post(ctx, "throttle task", expandPath(PathThrottle, string(attempt)), ThrottleRequest{milliCPU})
}

// Tasks implements infra.Machines.
func (c *Client) Tasks(ctx context.Context) ([]infra.Task, error) {
	var res TaskList
	err := c.get(ctx, "tasks", PathTasks, &res)
	var out []infra.Task
	for _, t := range res.Tasks {
		out = append(out, TaskFromWire(t))
	}
	return out, err
}

// Usage implements infra.Machines.
func (c *Client) Usage(ctx context.Context) ([]infra.Usage, error) {
	var res UsageList
	err := c.get(ctx, "usage", PathUsage, &res)
	var out []infra.Usage
	for _, u := range res.Reports {
		out = append(out, infra.Usage{Attempt: u.Attempt, VM: u.VM, Used: model.Resources(u.Used), At: u.At})
	}
	return out, err
}

// get sends a GET request and decodes the response into into.
func (c *Client) get(ctx context.Context, op, path string, into any) error {
	call := httpcall.Call{Op: op, Method: http.MethodGet, Path: path}
	a, err := c.http.Do(ctx, call)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return statusError(call, a)
	}
	return httpcall.Decode(call, a, into)
}

// post sends a request that changes state. A nil body is sent as no body.
func (c *Client) post(ctx context.Context, op, path string, body any) error {
	call := httpcall.Call{Op: op, Method: http.MethodPost, Path: path, Body: body, Write: true}
	a, err := c.http.Do(ctx, call)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return statusError(call, a)
	}
	return httpcall.Decode(call, a, &struct{}{})
}

// statusError returns the error for a response whose status is not 200.
func statusError(call httpcall.Call, a httpcall.Response) error {
	var p Problem
	if err := json.Unmarshal(a.Body, &p); err != nil {
		p.Message = "no further word"
	}
	return infra.Errorf(call.Op, kindOfStatus(call, a.Status), "status %d: %s", a.Status, p.Message)
}

// kindOfStatus returns the kind of error for a status. With a status that
// doesn't rule out an effect, the outcome of a write is unknown.
func kindOfStatus(call httpcall.Call, status int) infra.Kind {
	switch status {
	case http.StatusBadRequest:
		return infra.KindInvalid
	case http.StatusNotFound:
		return infra.KindNotFound
	case http.StatusConflict:
		return infra.KindConflict
	case http.StatusGone:
		return infra.KindLeaseNotFound
	case http.StatusTooManyRequests:
		return infra.KindRateLimited
	}
	if call.Write {
		return infra.KindUnknown
	}
	return infra.KindUnavailable
}

// expandPath replaces the placeholder in path by id, escaped.
func expandPath(path, id string) string {
	before, rest, _ := strings.Cut(path, "{")
	_, after, _ := strings.Cut(rest, "}")
	return before + url.PathEscape(id) + after
}
