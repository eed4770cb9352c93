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

// ErrNotSent: no connection to the owner was had; nothing was done.
var ErrNotSent = errors.New("ownerlink: the owner can't be reached")

// dialTimeout ends a connection attempt; a VM behind a cut does not answer.
const dialTimeout = 400 * time.Millisecond

// Peer is the owner of a cell and where it is reached.
type Peer struct {
	Cell    string
	Address string
}

// Client calls owners, over one connection to each address.
type Client struct {
	Log logr.Logger
	// Behind is how long what is ready to run waits on this VM; nil: it does not.
	Behind func() time.Duration
	// Configs compares configurations with those who answer; nil: they are not compared.
	Configs Configs

	fetching sync.Mutex  // held while a newer configuration is fetched
	catching atomic.Bool // that is about to be done, and nobody waits for it

	mu    sync.Mutex
	began time.Time
	links map[string]*link            // by address
	dials map[string]*breaker.Breaker // likewise
}

type link struct {
	conn net.Conn
	out  *frameWriter

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan *response
	heard   uint64 // answers so far
	dead    bool
}

// Submit hands a job to the owner.
func (c *Client) Submit(ctx context.Context, p Peer, j *work.Job, q engine.Queue) error {
	resp, err := c.call(ctx, p, &request{Kind: kindSubmit, Job: j, Queue: &q})
	if err != nil {
		return err
	}
	return resp.Result.err()
}

// State asks for a job's state, for a caller of the workspace.
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

// Waiting asks how many jobs of the queue have not begun.
func (c *Client) Waiting(ctx context.Context, p Peer, queue string) (int, error) {
	resp, err := c.call(ctx, p, &request{Kind: kindWaiting, Name: queue})
	if err != nil {
		return 0, err
	}
	return resp.Count, resp.Result.err()
}

// Sync hands a cell's owner the orders of the fleet's and returns its report.
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

// LookAtLimits tells a cell's owner that another cell waits for the workspaces' limits, or gave back.
func (c *Client) LookAtLimits(ctx context.Context, p Peer, names []work.WorkspaceName) error {
	resp, err := c.call(ctx, p, &request{Kind: kindLookAtLimits, Workspaces: names})
	if err != nil {
		return err
	}
	return resp.Result.err()
}

// Explain asks the owner where a job stands and why.
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

// Summary asks the owner how its cell stands.
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

// EndLease asks the entry VM at the address to end a lease as soon as the store answers.
func (c *Client) EndLease(ctx context.Context, address string, lease int64) error {
	_, err := c.call(ctx, Peer{Address: address}, &request{Kind: kindEndLease, Lease: lease})
	return err
}

// call sends a request and waits for its answer, as exchange does, and compares configurations
// with whoever answers.
func (c *Client) call(ctx context.Context, p Peer, req *request) (*response, error) {
	var sent time.Duration
	if c.Configs != nil {
		req.Config = c.Configs.Standing()
		sent = c.Configs.Now()
	}
	resp, err := c.exchange(ctx, p, req)
	if err == nil {
		c.compare(ctx, p.Address, resp, sent)
	}
	return resp, err
}

// exchange sends a request and waits for its answer. ErrNotSent is certain; without an answer
// the error is engine.ErrUncertain. A connection on which nothing came meanwhile is given
// up: it may have gone silent for good while new ones work. One that brought other answers
// stays, and so does one that this VM had no time to read: with it all calls on it would
// be given up, and repeated by a VM that is behind as it is.
func (c *Client) exchange(ctx context.Context, p Peer, req *request) (*response, error) {
	req.Cell = p.Cell
	l, err := c.connect(ctx, p.Address)
	if err != nil {
		return nil, err
	}
	answer := make(chan *response, 1)
	heard, added := l.add(req, answer)
	if !added {
		return nil, ErrNotSent
	}
	if err := l.out.write(req); err != nil {
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
		// Whoever asked may have left; that says nothing of the connection, on which
		// calls of others wait.
		lives := l.forget(req.ID) > heard
		if !lives && !errors.Is(ctx.Err(), context.Canceled) && !c.behind() {
			l.close()
		}
		return nil, engine.ErrUncertain
	}
}

// connect returns the connection to the address. Nobody waits for a VM that did
// not answer a moment ago.
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
		c.dials[address].RecordFailure(time.Since(c.began))
		c.Log.V(1).Info("owner can't be reached", "address", address, "error", err.Error())
		return nil, ErrNotSent
	}
	c.dials[address].RecordSuccess()
	if other := c.links[address]; other != nil && !other.isDead() {
		conn.Close()
		return other, nil
	}
	l = &link{conn: conn, out: &frameWriter{conn: conn}, waiting: make(map[uint64]chan *response)}
	c.links[address] = l
	go l.read()
	return l, nil
}

// dial opens a connection that is reset when it is closed: what was given up
// behind a cut must not be delivered as the cut heals, seconds later.
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

// existing returns the connection to the address, or whether one may be tried.
func (c *Client) existing(address string) (l *link, mayDial bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links == nil {
		c.began = time.Now()
		c.links = make(map[string]*link)
		c.dials = make(map[string]*breaker.Breaker)
	}
	if l := c.links[address]; l != nil && !l.isDead() {
		return l, false
	}
	delete(c.links, address)
	if c.dials[address] == nil {
		c.dials[address] = new(breaker.Breaker)
	}
	return nil, c.dials[address].Allow(time.Since(c.began))
}

func (l *link) isDead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dead
}

// behind reports whether an answer may lie here unread.
func (c *Client) behind() bool { return c.Behind != nil && overload.AnswerMayBeUnread(c.Behind()) }

// add notes a call; heard counts the answers that had come before it.
func (l *link) add(req *request, answer chan *response) (heard uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return 0, false
	}
	l.nextID++
	req.ID = l.nextID
	l.waiting[req.ID] = answer
	return l.heard, true
}

// forget drops a call that nobody waits for any more, and returns how many answers have
// come so far.
func (l *link) forget(id uint64) (heard uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
	return l.heard
}

func (l *link) read() {
	r := bufio.NewReader(l.conn)
	for {
		resp := new(response)
		if err := readFrame(r, resp); err != nil {
			l.close()
			return
		}
		l.mu.Lock()
		l.heard++
		answer := l.waiting[resp.ID]
		delete(l.waiting, resp.ID)
		l.mu.Unlock()
		if answer != nil {
			answer <- resp
		}
	}
}

// close ends the connection; calls without an answer become uncertain.
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
