package boot

import (
	"context"
	"sync"

	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/budget"
	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// peerConns holds one connection for each entry instance's address.
type peerConns struct {
	options []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// client returns the client at the address, or nil where it cannot be made.
func (p *peerConns) client(addr string) wire.PeerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = make(map[string]*grpc.ClientConn)
	}
	conn := p.conns[addr]
	if conn == nil {
		var err error
		if conn, err = grpc.NewClient("passthrough:///"+addr, p.options...); err != nil {
			return nil
		}
		p.conns[addr] = conn
	}
	return wire.NewPeerClient(conn)
}

// keep closes the connections to addresses that are not listed any more.
func (p *peerConns) keep(listed map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conn := range p.conns {
		if !listed[addr] {
			_ = conn.Close()
			delete(p.conns, addr)
		}
	}
}

// close closes all connections.
func (p *peerConns) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, addr)
	}
}

// otherRouters returns the clients of the other listed entry instances.
func (r *Router) otherRouters() []wire.PeerClient {
	routers, _ := r.members.routers()
	var clients []wire.PeerClient
	for _, inst := range routers {
		if inst.Name == r.Settings.Instance.Name {
			continue
		}
		if c := r.peers.client(inst.Addr); c != nil {
			clients = append(clients, c)
		}
	}
	return clients
}

// budgets is the budget service as the request path calls it.
type budgets struct {
	service  *budget.Service
	deferred *deferrals
}

func toTicket(t entry.Ticket) budget.Ticket { return budget.Ticket(t) }

// Reserve takes tokens for a request.
func (b budgets) Reserve(ctx context.Context, name string, tokens ledger.Tokens) (entry.Ticket, error) {
	t, err := b.service.Reserve(ctx, name, tokens)
	return entry.Ticket(t), err
}

// Settle charges what was used and puts the rest back.
func (b budgets) Settle(t entry.Ticket, request, service string, used []ledger.Charge) {
	b.service.SettleBilled(toTicket(t), ledger.Usage{Request: request, Service: service, Charges: used})
}

// Cancel puts all of it back.
func (b budgets) Cancel(t entry.Ticket) { b.service.Cancel(toTicket(t)) }

// Defer holds the ticket until the log tells what the request was billed, or
// that no side process can bill it any more.
func (b budgets) Defer(t entry.Ticket, request string, sides []string) {
	b.service.Defer(toTicket(t), request)
	b.deferred.add(deferral{budget: t.Budget, request: request, sides: sides})
}

// CloseHolder drops the lots of a closed holder.
func (b budgets) CloseHolder(h ident.Incarnation) { b.service.CloseHolder(h) }

// BillOrphan bills the output of a run whose side process is gone.
func (b budgets) BillOrphan(request string, t entry.Ticket, service string, charges []ledger.Charge) {
	b.service.Bill(ledger.Usage{Budget: t.Budget, Request: request, Charges: charges, Service: service})
}
