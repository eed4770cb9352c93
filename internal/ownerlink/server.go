package ownerlink

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/guard"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Owner answers the calls for a cell: the engine of an entry VM while it owns the cell.
type Owner interface {
	Submit(ctx context.Context, j *work.Job, q engine.Queue) error
	State(id work.JobID, by work.WorkspaceName) (work.State, error)
	Cancel(ctx context.Context, id work.JobID, by work.WorkspaceName) error
	Waiting(queue string) (int, error)
	Sync(s engine.CellSync) (engine.CellAnswer, error)
	Explain(id work.JobID) (engine.Explanation, error)
	Summary() (engine.Summary, error)
	RecheckLimits(names []work.WorkspaceName) error
}

// serveTimeout bounds a call at the called entry VM: callers have timed out long before.
const serveTimeout = 4 * time.Second

// Server answers calls of other entry VMs.
type Server struct {
	Listener net.Listener
	// Owner returns the owner of the cell, or nil while this entry VM does not own it.
	Owner func(cell string) Owner
	// Workers calls workers for the owners on other entry VMs; nil if this entry VM does not
	// forward calls.
	Workers engine.Workers
	// EndLease ends a lease that its holder could not end, without blocking; nil if this entry
	// VM does not do that.
	EndLease func(lease int64)
	Configs  Configs // nil if configurations are not compared
	// Memory is what callers can make this entry VM hold, also by jobs that other entry VMs pass on; nil:
	// not bounded.
	Memory *guard.Budget
	Log    logr.Logger

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Run accepts connections and answers calls until ctx ends.
func (s *Server) Run(ctx context.Context) {
	s.conns = make(map[net.Conn]struct{})
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	for {
		c, err := s.Listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				s.Log.Error(err, "accepting connections of entry VMs failed")
			}
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(ctx, c)
	}
}

// close closes the listener and all connections.
func (s *Server) close() {
	s.Listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// serve answers the calls of a connection, each in a goroutine of its own.
func (s *Server) serve(ctx context.Context, c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	out := &frameWriter{conn: c}
	for {
		hold := s.Memory.NewHold(guard.Requests)
		req, complete, err := receive(r, hold)
		if err != nil {
			hold.Release()
			s.Log.V(1).Info("connection of an entry VM ended", "peer", c.RemoteAddr().String(), "error", err.Error())
			return
		}
		go func() {
			defer hold.Release()
			resp := &response{ID: req.ID, Result: resultNoMemory}
			if complete {
				resp = s.answer(ctx, req)
			} else {
				s.Log.Info("refused", "op", "submit", "job", req.JobID, "peer", c.RemoteAddr().String(), "reason", engine.ErrNoMemory.Error())
			}
			err := out.write(resp)
			if errors.Is(err, errFrame) {
				s.Log.Error(err, "the answer to an entry VM is too large", "kind", req.Kind)
				err = out.write(&response{ID: req.ID, Result: resultTooLarge, Config: resp.Config})
			}
			if err != nil {
				s.Log.V(1).Info("sending a response to an entry VM failed", "peer", c.RemoteAddr().String(), "error", err.Error())
				c.Close()
			}
		}()
	}
}

// answer carries out a call and returns its response. A caller's request from an entry VM with
// an older configuration is refused.
func (s *Server) answer(ctx context.Context, req *request) *response {
	resp := &response{ID: req.ID, Result: resultNotReady}
	if s.Configs != nil {
		resp.Config = s.Configs.Status()
		if req.Config.Version > resp.Config.Version {
			s.Configs.NotifyOutdated()
		}
	}
	if req.Kind == kindWorker {
		s.forward(ctx, req.Worker, resp)
		return resp
	}
	switch req.Kind {
	case kindPing:
		resp.Result = resultOK
		return resp
	case kindConfig:
		if s.Configs != nil {
			resp.Packed = s.Configs.Encoded()
			resp.Result = resultOK
		}
		return resp
	case kindEndLease:
		if s.EndLease != nil {
			s.EndLease(req.Lease)
			resp.Result = resultOK
		}
		return resp
	}
	owner := s.Owner(req.Cell)
	if owner == nil {
		return resp
	}
	if req.Kind.fromCaller() && req.Config.Version != 0 && req.Config.Version < resp.Config.Version {
		resp.Result = resultOutdatedConfig
		return resp
	}
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	var err error
	switch req.Kind {
	case kindSubmit:
		err = owner.Submit(ctx, req.Job, *req.Queue)
	case kindState:
		resp.State, err = owner.State(req.JobID, req.Workspace)
	case kindCancel:
		err = owner.Cancel(ctx, req.JobID, req.Workspace)
	case kindWaiting:
		resp.Count, err = owner.Waiting(req.Name)
	case kindSync:
		var a engine.CellAnswer
		a, err = owner.Sync(*req.Sync)
		resp.Sync = &a
	case kindRecheckLimits:
		err = owner.RecheckLimits(req.Workspaces)
	case kindExplain:
		var e engine.Explanation
		e, err = owner.Explain(req.JobID)
		resp.Explanation = &e
	case kindSummary:
		var sum engine.Summary
		sum, err = owner.Summary()
		resp.Summary = &sum
	}
	resp.Result = resultOf(err)
	return resp
}
