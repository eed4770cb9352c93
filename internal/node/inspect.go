package node

import (
	"encoding/json"
	"errors"
	"expvar"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/pumicestage/pumicestage/internal/jobfront"
	"github.com/pumicestage/pumicestage/policy/work"
)

// inspectHandler serves the metrics address: counters, and what is known of a job.
// It changes nothing and tells no specification.
func (n *Node) inspectHandler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/debug/vars", expvar.Handler())
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
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(report); err != nil {
		n.log.V(1).Info("operator has gone", "error", err.Error())
	}
}
