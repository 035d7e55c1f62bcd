package opsvc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/insts"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// InForce reports how far the entry instances have folded the catalogue.
type InForce struct {
	// Wanted is the offset that the instances should have folded.
	Wanted    logsvc.Offset `json:"wanted"`
	Instances []Position    `json:"instances"`
}

// Position is the catalogue offset of one entry instance.
type Position struct {
	Instance string `json:"instance"`
	Addr     string `json:"addr"`
	// Offset is the offset of the last record folded.
	Offset logsvc.Offset `json:"offset"`
	// InForce reports whether the wanted offset is folded.
	InForce bool `json:"in-force"`
	// Error is the reason why there is no answer.
	Error string `json:"error,omitempty"`
}

// Behind reports whether any instance answered with an offset below Wanted.
func (f InForce) Behind() bool {
	return slices.ContainsFunc(f.Instances, func(p Position) bool { return p.Error == "" && !p.InForce })
}

// Silent reports whether any instance did not answer.
func (f InForce) Silent() bool {
	return slices.ContainsFunc(f.Instances, func(p Position) bool { return p.Error != "" })
}

// InForce asks every listed entry instance whether it has folded the catalogue
// up to offset. If offset is nil, the offset of the latest accepted change is
// used.
func (s *Service) InForce(ctx context.Context, offset *logsvc.Offset) (InForce, error) {
	var out InForce
	if offset == nil {
		var state catal.State
		if _, err := s.catchUp(ctx, ledger.CatalogueStream, &state); err != nil {
			return out, err
		}
		latest := state.Latest()
		offset = &latest
	}
	out.Wanted = *offset
	routers, err := s.routers(ctx)
	if err != nil {
		return out, err
	}
	out.Instances = queryAll(routers, func(r insts.Instance) Position { return s.position(ctx, r, out.Wanted) })
	return out, nil
}

// position queries the catalogue offset of one instance.
func (s *Service) position(ctx context.Context, r insts.Instance, wanted logsvc.Offset) Position {
	p := Position{Instance: r.Name, Addr: r.Addr}
	err := s.withPeer(ctx, r, func(ctx context.Context, peer wire.PeerClient) (err error) {
		p.Offset, err = catalogueOffset(ctx, peer)
		return err
	})
	if err != nil {
		p.Error = err.Error()
	}
	p.InForce = err == nil && p.Offset >= wanted
	return p
}

// catalogueOffset returns the offset of a peer's snapshot of the catalogue.
func catalogueOffset(ctx context.Context, peer wire.PeerClient) (logsvc.Offset, error) {
	chunks, err := peer.Snapshot(ctx, &wire.SnapshotRequest{Stream: ledger.CatalogueStream})
	if err != nil {
		return 0, err
	}
	var raw []byte
	for {
		c, err := chunks.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return 0, err
		}
		raw = append(raw, c.GetData()...)
	}
	var body struct {
		At logsvc.Offset `json:"at"`
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return 0, fmt.Errorf("snapshot of the catalogue: %w", err)
	}
	return body.At, nil
}
