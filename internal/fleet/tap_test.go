package fleet

import (
	"context"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// tapStore lets a schedule step in before each call of one node.
type tapStore struct {
	infra.Store
	n *node
}

func (t *tapStore) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	t.n.at("txn")
	return t.Store.Txn(ctx, txn)
}

// tapMachines is tapStore for the control of VMs.
type tapMachines struct {
	infra.Machines
	n *node
}

func (t *tapMachines) Drain(ctx context.Context, id model.VMID, a model.AttemptID) error {
	t.n.at("drain")
	return t.Machines.Drain(ctx, id, a)
}

func (t *tapMachines) Undrain(ctx context.Context, id model.VMID, a model.AttemptID) error {
	t.n.at("undrain")
	return t.Machines.Undrain(ctx, id, a)
}

func (t *tapMachines) Reboot(ctx context.Context, id model.VMID, a model.AttemptID) error {
	t.n.at("reboot")
	return t.Machines.Reboot(ctx, id, a)
}

func (t *tapMachines) InFlight(ctx context.Context, id model.VMID) (int, error) {
	t.n.at("in-flight")
	return t.Machines.InFlight(ctx, id)
}
