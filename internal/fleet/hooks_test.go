package fleet

import (
	"context"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// hookedStore calls the node's beforeCall before each transaction.
type hookedStore struct {
	infra.Store
	n *node
}

func (t *hookedStore) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	t.n.beforeCall("txn")
	return t.Store.Txn(ctx, txn)
}

// hookedMachines calls the node's beforeCall before each call that controls a VM.
type hookedMachines struct {
	infra.Machines
	n *node
}

func (t *hookedMachines) Drain(ctx context.Context, id model.VMID, a model.AttemptID) error {
	t.n.beforeCall("drain")
	return t.Machines.Drain(ctx, id, a)
}

func (t *hookedMachines) Undrain(ctx context.Context, id model.VMID, a model.AttemptID) error {
	t.n.beforeCall("undrain")
	return t.Machines.Undrain(ctx, id, a)
}

func (t *hookedMachines) Reboot(ctx context.Context, id model.VMID, a model.AttemptID) error {
	t.n.beforeCall("reboot")
	return t.Machines.Reboot(ctx, id, a)
}

func (t *hookedMachines) InFlight(ctx context.Context, id model.VMID) (int, error) {
	t.n.beforeCall("in-flight")
	return t.Machines.InFlight(ctx, id)
}
