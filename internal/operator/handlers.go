package operator

import (
	"context"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"time"

	"github.com/pumicestage/pumicestage/internal/access"
	"github.com/pumicestage/pumicestage/internal/audit"
	"github.com/pumicestage/pumicestage/internal/command"
	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/internal/operator/api"
	"github.com/pumicestage/pumicestage/policy/model"
)

func (s *server) getDeclaration(ctx context.Context, _ *http.Request, _ access.Identity) (any, error) {
	stored, rev, err := config.Read(ctx, s.Store)
	if err != nil {
		return nil, err
	}
	if stored == nil {
		return api.DeclarationReply{}, nil
	}
	return api.DeclarationReply{Declaration: &stored.Declaration, Applied: stored.Last(), Revision: rev}, nil
}

func (s *server) postDeclaration(ctx context.Context, r *http.Request, who access.Identity) (any, error) {
	var req api.DeclarationRequest
	if err := readBody(r, &req); err != nil {
		return nil, err
	}
	if req.Declaration == nil {
		return nil, &bodyError{detail: "no declaration in the body"}
	}
	switch req.Mode {
	case api.ModeCheck:
		if problems := config.Validate(req.Declaration); len(problems) > 0 {
			return nil, &config.InvalidError{Problems: problems}
		}
		return api.ChangeReply{}, nil
	case api.ModeDiff, api.ModeApply:
		return s.changeDeclaration(ctx, r, who, req)
	}
	return nil, &bodyError{detail: "mode is " + strconv.Quote(string(req.Mode)) + ", expected check, diff or apply"}
}

// changeDeclaration compares or applies a declaration. The route only requires
// RoleView, so RoleConfigure is checked here for ModeApply.
func (s *server) changeDeclaration(ctx context.Context, r *http.Request, who access.Identity, req api.DeclarationRequest) (any, error) {
	if req.Mode == api.ModeApply {
		if _, err := s.Access.Authorize(r, access.RoleConfigure); err != nil {
			s.Trail.RecordLimited(audit.Entry{Who: who.Name, From: remoteHost(r), Change: req.Change, What: "apply declaration", Result: audit.Refused, Detail: err.Error()})
			return nil, err
		}
	}
	res, err := s.Commands.Apply(ctx, command.ApplyRequest{
		Change: req.Change, By: actor(r, who), Declaration: req.Declaration,
		IfGeneration: req.IfGeneration, ConfirmRemoval: req.ConfirmRemoval, DryRun: req.Mode == api.ModeDiff,
	})
	if err != nil {
		return nil, err
	}
	return api.ChangeReply{
		Generation: res.Generation, Current: res.Current, Unchanged: res.Unchanged, Repeated: res.Repeated,
		Differ: res.Differences, Broken: res.Broken, Warning: res.Warning,
	}, nil
}

func (s *server) getInForce(ctx context.Context, r *http.Request, _ access.Identity) (any, error) {
	generation, err := strconv.ParseUint(r.URL.Query().Get("generation"), 10, 64)
	if err != nil {
		return nil, &bodyError{detail: "generation must be a whole number"}
	}
	have, missing, err := s.Acks.InForce(ctx, generation)
	if err != nil {
		return nil, &config.UnavailableError{Err: err}
	}
	zoneOf := make(map[model.EntryID]model.ZoneName)
	for _, e := range s.View.Load().Entries {
		zoneOf[e.ID] = e.Zone
	}
	reply := api.InForceReply{Generation: generation, Missing: []api.MissingEntry{}}
	for _, id := range missing {
		reply.Missing = append(reply.Missing, api.MissingEntry{Entry: id, Zone: zoneOf[id]})
	}
	reply.Zones = countPerZone(have, missing, zoneOf)
	return reply, nil
}

// countPerZone counts, for each zone, the live entry VMs and those of them that
// have the generation in force. The result is sorted by zone.
func countPerZone(have, missing []model.EntryID, zoneOf map[model.EntryID]model.ZoneName) []api.ZoneInForce {
	counts := make(map[model.ZoneName]*api.ZoneInForce)
	countLive := func(id model.EntryID) *api.ZoneInForce {
		z := zoneOf[id]
		if counts[z] == nil {
			counts[z] = &api.ZoneInForce{Zone: z}
		}
		counts[z].Live++
		return counts[z]
	}
	for _, id := range have {
		countLive(id).Have++
	}
	for _, id := range missing {
		countLive(id)
	}
	zones := make([]api.ZoneInForce, 0, len(counts))
	for _, z := range counts {
		zones = append(zones, *z)
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i].Zone < zones[j].Zone })
	return zones
}

func (s *server) postQuery(ctx context.Context, r *http.Request, _ access.Identity) (any, error) {
	var req api.QueryRequest
	if err := readBody(r, &req); err != nil {
		return nil, err
	}
	question, err := lang.ParseQuestion(req.Text)
	if err != nil {
		return nil, err
	}
	answer, err := s.Queries.Ask(ctx, question, req.Declaration)
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// postDo carries out an order. The route requires RoleOperate; orders that
// change the declaration also require RoleConfigure.
func (s *server) postDo(ctx context.Context, r *http.Request, who access.Identity) (any, error) {
	var req api.DoRequest
	if err := readBody(r, &req); err != nil {
		return nil, err
	}
	order, err := lang.ParseOrder(req.Text)
	if err != nil {
		return nil, err
	}
	if _, requiresConfigure := order.(lang.SetLimit); requiresConfigure {
		if _, err := s.Access.Authorize(r, access.RoleConfigure); err != nil {
			s.Trail.RecordLimited(audit.Entry{Who: who.Name, From: remoteHost(r), Change: req.Change, What: req.Text, Result: audit.Refused, Detail: err.Error()})
			return nil, err
		}
	}
	res, err := s.Commands.Execute(ctx, command.Request{Change: req.Change, By: actor(r, who), IfRevision: req.IfRevision, Text: req.Text, Order: order})
	if err != nil {
		return nil, err
	}
	return doReply(res), nil
}

func doReply(res command.Result) api.DoReply {
	reply := api.DoReply{Change: res.Change, Refused: res.Refused(), Warning: res.Warning}
	for _, e := range res.Effects {
		effect := api.Effect{What: e.Subject, Before: e.Before, After: e.After, Revision: e.Revision}
		if e.Refused != nil {
			effect.Refused = e.Refused.Error()
		}
		reply.Effects = append(reply.Effects, effect)
	}
	return reply
}

func (s *server) getAudit(ctx context.Context, r *http.Request, _ access.Identity) (any, error) {
	filter, err := auditFilter(r.URL.Query())
	if err != nil {
		return nil, err
	}
	entries, more, err := s.Trail.Read(ctx, filter)
	if err != nil {
		return nil, err
	}
	if entries == nil {
		entries = []audit.Entry{}
	}
	return api.AuditReply{Entries: entries, More: more}, nil
}

// maxAuditEntries bounds the entries in one response. A longer export makes
// further requests that continue from the time of the last entry it received.
const maxAuditEntries = 10_000

// auditFilter parses the query parameters of an audit request. It returns a
// bodyError for an invalid time or limit.
func auditFilter(q url.Values) (audit.Filter, error) {
	f := audit.Filter{Who: q.Get("who"), What: q.Get("what")}
	for name, dest := range map[string]*time.Time{"since": &f.Since, "until": &f.Until} {
		text := q.Get(name)
		if text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return f, &bodyError{detail: name + " is " + strconv.Quote(text) + ", expected a time as 2006-01-02T15:04:05Z"}
		}
		*dest = at
	}
	if text := q.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxAuditEntries {
			return f, &bodyError{detail: "limit is " + strconv.Quote(text) + ", expected 1 to " + strconv.Itoa(maxAuditEntries)}
		}
		f.Limit = n
	}
	return f, nil
}

func (s *server) getStatus(context.Context, *http.Request, access.Identity) (any, error) {
	return api.StatusReply{Now: s.Clock.Now().UTC(), View: s.Queries.Info()}, nil
}
