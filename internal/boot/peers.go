package boot

import (
	"context"

	"github.com/beryllanding/beryllanding/internal/budget"
	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// otherRouters returns the clients of the other listed entry instances.
func (r *Router) otherRouters() []wire.PeerClient {
	routers, _ := r.members.routers()
	var clients []wire.PeerClient
	for _, inst := range routers {
		if inst.Name == r.Settings.Instance.Name {
			continue
		}
		if c := r.peers.Client(inst.Addr); c != nil {
			clients = append(clients, c)
		}
	}
	return clients
}

// budgets implements entry.Budgets and entry.OrphanBiller with the budget service.
type budgets struct {
	service  *budget.Service
	deferred *deferrals
}

func budgetReservation(t entry.Reservation) budget.Reservation { return budget.Reservation(t) }

// Reserve takes tokens for a request.
func (b budgets) Reserve(ctx context.Context, name string, tokens ledger.Tokens) (entry.Reservation, error) {
	t, err := b.service.Reserve(ctx, name, tokens)
	return entry.Reservation(t), err
}

// Settle charges the tokens that were used and frees the rest of the reservation.
func (b budgets) Settle(t entry.Reservation, request, service string, used []ledger.Charge) {
	b.service.SettleReported(budgetReservation(t), ledger.Usage{Request: request, Service: service, Charges: used})
}

// Cancel frees all tokens of the reservation.
func (b budgets) Cancel(t entry.Reservation) { b.service.Cancel(budgetReservation(t)) }

// Defer keeps the reservation reserved until the log shows the request's bill, or shows
// that no side process can bill it any more.
func (b budgets) Defer(t entry.Reservation, request string, sides []string) {
	b.service.Defer(budgetReservation(t), request)
	b.deferred.add(deferral{budget: t.Budget, request: request, sides: sides})
}

// ReportClosedHolder drops the lots of a closed holder.
func (b budgets) ReportClosedHolder(h ident.Incarnation) { b.service.CloseHolder(h) }

// BillOrphan bills the output of a run whose side process is gone.
func (b budgets) BillOrphan(request string, t entry.Reservation, service string, charges []ledger.Charge) {
	b.service.AppendUsage(ledger.Usage{Budget: t.Budget, Request: request, Charges: charges, Service: service})
}
