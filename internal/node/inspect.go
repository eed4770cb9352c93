package node

import (
	"encoding/json"
	"errors"
	"expvar"
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"github.com/pumicestage/pumicestage/internal/jobfront"
	"github.com/pumicestage/pumicestage/policy/work"
)

// inspectHandler serves the metrics address: counters, the state of the cells, the capacity
// plan, and the explanation of a job. It is read-only and never shows a job's specification.
func (n *Node) inspectHandler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/debug/vars", expvar.Handler())
	r.HandleFunc("/cells", n.listCells).Methods(http.MethodGet)
	r.HandleFunc("/capacity", n.explainCapacity).Methods(http.MethodGet)
	r.HandleFunc("/explain/{job}", n.explainJob).Methods(http.MethodGet)
	return r
}

func (n *Node) explainJob(w http.ResponseWriter, r *http.Request) {
	report, err := n.front.Explain(r.Context(), work.JobID(mux.Vars(r)["job"]))
	switch {
	case errors.Is(err, jobfront.ErrUnknownJob):
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	n.writeJSON(w, report)
}

// explainCapacity serves the capacity plan, and why the VM named by the query parameter vm is kept
// or parked. Only the fleet's owner has a plan; the other entry VMs name it.
func (n *Node) explainCapacity(w http.ResponseWriter, r *http.Request) {
	fleet := n.duties.fleet.Load()
	if fleet == nil {
		reason := "the fleet has no owner"
		if owner, known := n.directory.Owner(fleetDuty); known {
			reason = "the fleet is owned by " + owner.Entry
		}
		http.Error(w, reason, http.StatusNotFound)
		return
	}
	report, planned := fleet.ExplainCapacity(r.URL.Query().Get("vm"))
	if !planned {
		http.Error(w, "no capacity plan: [capacity] "+moveCostKey+" is not set, or nothing has been planned yet", http.StatusNotFound)
		return
	}
	n.writeJSON(w, report)
}

func (n *Node) listCells(w http.ResponseWriter, r *http.Request) {
	var cells []string
	for name, s := range n.operator.declared().Services {
		if !s.Standby {
			cells = append(cells, name)
		}
	}
	slices.Sort(cells)
	n.writeJSON(w, n.front.Cells(r.Context(), cells))
}

func (n *Node) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		n.log.V(1).Info("answer to the operator not written", "error", err.Error())
	}
}
