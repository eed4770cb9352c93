package standin

import (
	"net/http"
	"net/url"

	"github.com/gorilla/mux"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/httpcall"
	"github.com/pumicestage/pumicestage/internal/infra/machineapi"
	"github.com/pumicestage/pumicestage/policy/model"
)

func (s *Server) routeMachines() {
	get := map[string]http.HandlerFunc{
		machineapi.PathMachines: s.listMachines,
		machineapi.PathInFlight: s.inFlight,
		machineapi.PathTasks:    s.listTasks,
		machineapi.PathUsage:    s.listUsage,
	}
	for path, h := range get {
		s.router.HandleFunc(path, s.withFaults(KindMachines, h)).Methods(http.MethodGet)
	}
	post := map[string]http.HandlerFunc{
		machineapi.PathDrain:    s.drain,
		machineapi.PathUndrain:  s.undrain,
		machineapi.PathReboot:   s.reboot,
		machineapi.PathTasks:    s.startTask,
		machineapi.PathRenew:    s.renewTask,
		machineapi.PathStop:     s.stopTask,
		machineapi.PathThrottle: s.throttleTask,
	}
	for path, h := range post {
		s.router.HandleFunc(path, s.withFaults(KindEffect, h)).Methods(http.MethodPost)
	}
}

func (s *Server) listMachines(w http.ResponseWriter, r *http.Request) {
	fault, _ := s.Faults.state(r.Header.Get(httpcall.ZoneHeader))
	s.Machines.freeze(fault.StaleList)
	list, err := s.Machines.List(r.Context())
	out := machineapi.MachineList{AsOf: list.AsOf, Machines: []machineapi.Machine{}}
	for _, m := range list.Machines {
		out.Machines = append(out.Machines, machineapi.Machine(m))
	}
	reply(w, out, err)
}

func (s *Server) inFlight(w http.ResponseWriter, r *http.Request) {
	n, err := s.Machines.InFlight(r.Context(), vmOf(r))
	reply(w, machineapi.InFlight{Count: n}, err)
}

func (s *Server) listTasks(w http.ResponseWriter, r *http.Request) {
	tasks, err := s.Machines.Tasks(r.Context())
	out := machineapi.TaskList{Tasks: []machineapi.Task{}}
	for _, t := range tasks {
		out.Tasks = append(out.Tasks, machineapi.TaskToWire(t))
	}
	reply(w, out, err)
}

func (s *Server) listUsage(w http.ResponseWriter, r *http.Request) {
	reports, err := s.Machines.Usage(r.Context())
	out := machineapi.UsageList{Reports: []machineapi.Usage{}}
	for _, u := range reports {
		out.Reports = append(out.Reports, machineapi.Usage{Attempt: u.Attempt, VM: u.VM, Used: machineapi.Resources(u.Used), At: u.At})
	}
	reply(w, out, err)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	var req machineapi.MachineRequest
	if readJSON(w, r, &req) {
		reply(w, struct{}{}, s.Machines.Drain(r.Context(), vmOf(r), req.Attempt))
	}
}

func (s *Server) undrain(w http.ResponseWriter, r *http.Request) {
	var req machineapi.MachineRequest
	if readJSON(w, r, &req) {
		reply(w, struct{}{}, s.Machines.Undrain(r.Context(), vmOf(r), req.Attempt))
	}
}

func (s *Server) reboot(w http.ResponseWriter, r *http.Request) {
	var req machineapi.MachineRequest
	if readJSON(w, r, &req) {
		reply(w, struct{}{}, s.Machines.Reboot(r.Context(), vmOf(r), req.Attempt))
	}
}

func (s *Server) startTask(w http.ResponseWriter, r *http.Request) {
	var req machineapi.Task
	if readJSON(w, r, &req) {
		reply(w, struct{}{}, s.Machines.StartTask(r.Context(), machineapi.TaskFromWire(req)))
	}
}

func (s *Server) renewTask(w http.ResponseWriter, r *http.Request) {
	reply(w, struct{}{}, s.Machines.RenewTask(r.Context(), attemptOf(r)))
}

func (s *Server) stopTask(w http.ResponseWriter, r *http.Request) {
	var req machineapi.StopRequest
	if readJSON(w, r, &req) {
		reply(w, struct{}{}, s.Machines.StopTask(r.Context(), attemptOf(r), req.Checkpoint))
	}
}

func (s *Server) throttleTask(w http.ResponseWriter, r *http.Request) {
	var req machineapi.ThrottleRequest
	if readJSON(w, r, &req) {
		reply(w, struct{}{}, s.Machines.ThrottleTask(r.Context(), attemptOf(r), req.MilliCPU))
	}
}

func vmOf(r *http.Request) model.VMID { return model.VMID(pathVariable(r, "vm")) }

func attemptOf(r *http.Request) model.AttemptID { return model.AttemptID(pathVariable(r, "attempt")) }

// pathVariable returns a path variable unescaped, or "" if it is malformed. The
// router matches the encoded path, so that an escaped slash within an identifier
// does not separate path segments.
func pathVariable(r *http.Request, name string) string {
	v, err := url.PathUnescape(mux.Vars(r)[name])
	if err != nil {
		return ""
	}
	return v
}

// statusOf maps kinds of error to HTTP statuses; others get 500.
var statusOf = map[infra.Kind]int{
	infra.KindInvalid:       http.StatusBadRequest,
	infra.KindNotFound:      http.StatusNotFound,
	infra.KindConflict:      http.StatusConflict,
	infra.KindLeaseNotFound: http.StatusGone,
}

func reply(w http.ResponseWriter, body any, err error) {
	if err == nil {
		writeJSON(w, http.StatusOK, body)
		return
	}
	status, ok := statusOf[infra.KindOf(err)]
	if !ok {
		status = http.StatusInternalServerError
	}
	writeJSON(w, status, machineapi.Problem{Message: err.Error()})
}
