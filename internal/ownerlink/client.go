package ownerlink

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/breaker"
	"github.com/pumicestage/pumicestage/policy/overload"
	"github.com/pumicestage/pumicestage/policy/work"
)

// ErrNotSent is returned when there is no connection to the peer. The request certainly
// did not leave, so it may be sent elsewhere.
var ErrNotSent = errors.New("ownerlink: the owner can't be reached")

// dialTimeout bounds a connection attempt: a VM behind a network partition does not answer.
const dialTimeout = 400 * time.Millisecond

// Peer is the entry VM that owns a cell, and its address. Cell is empty in calls that
// concern the entry VM itself.
type Peer struct {
	Cell    string
	Address string
}

// Client calls other entry VMs, with one connection for each address. Its methods return
// ErrNotSent if the request did not leave, engine.ErrTooLarge if it can't be sent, engine.ErrUncertain if
// it may have been carried out without an answer, and otherwise the error of the called entry VM.
type Client struct {
	Log logr.Logger
	// SchedulingDelay returns how long goroutines that are ready to run wait for a
	// processor on this VM; nil stands for no delay.
	SchedulingDelay func() time.Duration
	// Configs is compared with the configuration of the entry VMs that answer; nil turns
	// the comparison off.
	Configs Configs

	fetchMu        sync.Mutex  // held while a newer configuration is fetched
	catchUpRunning atomic.Bool // a background goroutine waits for or fetches a newer configuration

	mu           sync.Mutex
	startedAt    time.Time
	links        map[string]*link            // by address
	dialBreakers map[string]*breaker.Breaker // by address
}

// link is a connection to an entry VM, shared by all calls to it.
type link struct {
	conn net.Conn
	out  *frameWriter

	mu       sync.Mutex
	nextID   uint64
	waiting  map[uint64]chan *response // by request ID
	answered uint64                    // responses received so far
	dead     bool
}

// Submit submits a job to the owner of the cell.
func (c *Client) Submit(ctx context.Context, p Peer, j *work.Job, q engine.Queue) error {
	resp, err := c.call(ctx, p, &request{Kind: kindSubmit, Job: j, Queue: &q})
	if err != nil {
		return err
	}
	return resp.Result.err()
}

// State returns a job's state to a caller of the workspace.
func (c *Client) State(ctx context.Context, p Peer, id work.JobID, by work.WorkspaceName) (work.State, error) {
	resp, err := c.call(ctx, p, &request{Kind: kindState, JobID: id, Workspace: by})
	if err != nil {
		return "", err
	}
	return resp.State, resp.Result.err()
}

// Cancel cancels a job, for a caller of the workspace.
func (c *Client) Cancel(ctx context.Context, p Peer, id work.JobID, by work.WorkspaceName) error {
	resp, err := c.call(ctx, p, &request{Kind: kindCancel, JobID: id, Workspace: by})
	if err != nil {
		return err
	}
	return resp.Result.err()
}

// Waiting returns the number of jobs of the queue that have not started.
func (c *Client) Waiting(ctx context.Context, p Peer, queue string) (int, error) {
	resp, err := c.call(ctx, p, &request{Kind: kindWaiting, Name: queue})
	if err != nil {
		return 0, err
	}
	return resp.Count, resp.Result.err()
}

// Sync gives a cell's owner the orders of the fleet's owner and returns the cell's report.
// It returns engine.ErrNotReady if the answer lacks the report.
func (c *Client) Sync(ctx context.Context, p Peer, s engine.CellSync) (engine.CellAnswer, error) {
	resp, err := c.call(ctx, p, &request{Kind: kindSync, Sync: &s})
	if err != nil {
		return engine.CellAnswer{}, err
	}
	if err := resp.Result.err(); err != nil || resp.Sync == nil {
		return engine.CellAnswer{}, errors.Join(err, engine.ErrNotReady)
	}
	return *resp.Sync, nil
}

// RecheckLimits asks a cell's owner to check the limits of the workspaces again, since
// another cell waits for a share of them or has returned one.
func (c *Client) RecheckLimits(ctx context.Context, p Peer, names []work.WorkspaceName) error {
	resp, err := c.call(ctx, p, &request{Kind: kindRecheckLimits, Workspaces: names})
	if err != nil {
		return err
	}
	return resp.Result.err()
}

// Explain returns the owner's explanation of a job's state. It returns engine.ErrNotReady if
// the answer lacks the explanation.
func (c *Client) Explain(ctx context.Context, p Peer, id work.JobID) (engine.Explanation, error) {
	resp, err := c.call(ctx, p, &request{Kind: kindExplain, JobID: id})
	if err != nil {
		return engine.Explanation{}, err
	}
	if err := resp.Result.err(); err != nil || resp.Explanation == nil {
		return engine.Explanation{}, errors.Join(err, engine.ErrNotReady)
	}
	return *resp.Explanation, nil
}

// Summary returns the owner's summary of its cell. It returns engine.ErrNotReady if the
// answer lacks the summary.
func (c *Client) Summary(ctx context.Context, p Peer) (engine.Summary, error) {
	resp, err := c.call(ctx, p, &request{Kind: kindSummary})
	if err != nil {
		return engine.Summary{}, err
	}
	if err := resp.Result.err(); err != nil || resp.Summary == nil {
		return engine.Summary{}, errors.Join(err, engine.ErrNotReady)
	}
	return *resp.Summary, nil
}

// Ping reports whether the entry VM at the address answers.
func (c *Client) Ping(ctx context.Context, address string) bool {
	_, err := c.call(ctx, Peer{Address: address}, &request{Kind: kindPing})
	return err == nil
}

// EndLease asks the entry VM at the address to end a lease as soon as the store answers. nil means
// that it will try to; engine.ErrNotReady that it does not end leases.
func (c *Client) EndLease(ctx context.Context, address string, lease int64) error {
	resp, err := c.call(ctx, Peer{Address: address}, &request{Kind: kindEndLease, Lease: lease})
	if err != nil {
		return err
	}
	return resp.Result.err()
}

// call sends a request and waits for its answer, as exchange does, and compares this entry
// VM's configuration with that of the entry VM that answers.
func (c *Client) call(ctx context.Context, p Peer, req *request) (*response, error) {
	var sent time.Duration
	if c.Configs != nil {
		req.Config = c.Configs.Status()
		sent = c.Configs.Now()
	}
	resp, err := c.exchange(ctx, p, req)
	if err == nil {
		c.compareConfigs(ctx, p.Address, resp, sent)
	}
	return resp, err
}

// exchange sends a request and waits for its answer. It returns ErrNotSent or engine.ErrTooLarge if the
// request certainly did not leave, and engine.ErrUncertain if no answer came.
//
// A connection on which nothing arrived until the timeout is closed: it may never work again
// while a new one would. A connection that brought other answers stays open, and so does one
// that this VM was too overloaded to read: closing it would abort all calls on it, and an
// overloaded VM would have to repeat them.
func (c *Client) exchange(ctx context.Context, p Peer, req *request) (*response, error) {
	req.Cell = p.Cell
	l, err := c.connect(ctx, p.Address)
	if err != nil {
		return nil, err
	}
	answer := make(chan *response, 1)
	before, added := l.register(req, answer)
	if !added {
		return nil, ErrNotSent
	}
	if err := l.out.write(req); err != nil {
		l.unregister(req.ID)
		switch {
		case errors.Is(err, errFrame):
			return nil, engine.ErrTooLarge
		case errors.Is(err, errBusy):
			return nil, ErrNotSent
		}
		l.close()
		return nil, engine.ErrUncertain
	}
	select {
	case resp, ok := <-answer:
		if !ok {
			return nil, engine.ErrUncertain
		}
		return resp, nil
	case <-ctx.Done():
		// A canceled call says nothing about the connection, on which other calls wait.
		receivedOther := l.unregister(req.ID) > before
		if !receivedOther && !errors.Is(ctx.Err(), context.Canceled) && !c.answerMayBeUnread() {
			l.close()
		}
		return nil, engine.ErrUncertain
	}
}

// connect returns the connection to the address and dials it if there is none. It returns
// ErrNotSent at once while the circuit breaker of the address is open, so that no call waits
// for a VM that failed to answer a moment ago.
func (c *Client) connect(ctx context.Context, address string) (*link, error) {
	l, mayDial := c.existing(address)
	if l != nil {
		return l, nil
	}
	if !mayDial {
		return nil, ErrNotSent
	}
	conn, err := dial(ctx, address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.dialBreakers[address].RecordFailure(time.Since(c.startedAt))
		c.Log.V(1).Info("connecting to an entry VM failed", "address", address, "error", err.Error())
		return nil, ErrNotSent
	}
	c.dialBreakers[address].RecordSuccess()
	if other := c.links[address]; other != nil && !other.isDead() {
		conn.Close()
		return other, nil
	}
	l = &link{conn: conn, out: &frameWriter{conn: conn}, waiting: make(map[uint64]chan *response)}
	c.links[address] = l
	go l.read()
	return l, nil
}

// dial opens a connection that is reset when it is closed. Otherwise the kernel would deliver
// abandoned requests seconds later, when a network partition heals.
func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			conn.Close()
			return nil, err
		}
	}
	return conn, nil
}

// existing returns the open connection to the address. If there is none, it returns nil and
// whether the circuit breaker allows an attempt.
func (c *Client) existing(address string) (l *link, mayDial bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links == nil {
		c.startedAt = time.Now()
		c.links = make(map[string]*link)
		c.dialBreakers = make(map[string]*breaker.Breaker)
	}
	if l := c.links[address]; l != nil && !l.isDead() {
		return l, false
	}
	delete(c.links, address)
	if c.dialBreakers[address] == nil {
		c.dialBreakers[address] = new(breaker.Breaker)
	}
	return nil, c.dialBreakers[address].Allow(time.Since(c.startedAt))
}

func (l *link) isDead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dead
}

// answerMayBeUnread reports whether this VM is so overloaded that it may have received an
// answer and not read it yet.
func (c *Client) answerMayBeUnread() bool {
	return c.SchedulingDelay != nil && overload.AnswerMayBeUnread(c.SchedulingDelay())
}

// register assigns the request an ID and adds it to the calls that wait for an answer. It
// returns the number of responses received so far, and false if the connection is closed.
func (l *link) register(req *request, answer chan *response) (answered uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return 0, false
	}
	l.nextID++
	req.ID = l.nextID
	l.waiting[req.ID] = answer
	return l.answered, true
}

// unregister removes a call that nobody waits for any more, and returns the number of
// responses received so far.
func (l *link) unregister(id uint64) (answered uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
	return l.answered
}

// read delivers responses to the calls that wait for them until the connection fails.
func (l *link) read() {
	r := bufio.NewReader(l.conn)
	for {
		resp := new(response)
		if err := readFrame(r, resp); err != nil {
			l.close()
			return
		}
		l.mu.Lock()
		l.answered++
		answer := l.waiting[resp.ID]
		delete(l.waiting, resp.ID)
		l.mu.Unlock()
		if answer != nil {
			answer <- resp
		}
	}
}

// close closes the connection. The calls that wait for an answer return engine.ErrUncertain.
func (l *link) close() {
	l.conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return
	}
	l.dead = true
	for _, answer := range l.waiting {
		close(answer)
	}
	clear(l.waiting)
}
