// Package member tracks which stewards are alive, suspected of having failed or leaving, and
// runs the gossip exchanges that replicate state among them. Each steward exchanges with a
// few random peers at a time.
package member

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// maxLoadItemsPerMessage bounds the load reports in one message. A steward sends and
	// receives about two messages per second each, and a report takes about 70 bytes. The
	// bound keeps a VM's control traffic, including the polls of targets, within 3 KB/s
	// however large the fleet is.
	maxLoadItemsPerMessage = 4
	// probeThreshold is the largest number of items sent without a probe. Changes of state in
	// a larger set are held back until the digests have been compared, because the peer may
	// already hold them.
	probeThreshold = 16
	// urgentFanout is how many peers of the data centre an urgent round contacts in parallel
	// to spread a change of state.
	urgentFanout = 8
	// minUrgentInterval is the pause after each urgent round; it bounds how often they run.
	minUrgentInterval = 50 * time.Millisecond
	// otherDataCentreEvery is the number of regular rounds per exchange with a steward of
	// another data centre.
	otherDataCentreEvery = 2
	// exchangeTimeout bounds one exchange with a peer, including the follow-up of a probe.
	exchangeTimeout = time.Second
	// suspectRetryEvery is the number of regular rounds per exchange with a suspected peer.
	// Suspected peers are retried so that the end of a network partition is noticed.
	suspectRetryEvery = 3
)

// Self identifies the local steward to its peers.
type Self struct {
	VM         string
	DataCentre string
	// Address is where peers reach this steward.
	Address string
	// Incarnation grows with each start of the steward process.
	Incarnation uint64
}

// Dialer sends requests to other stewards.
type Dialer interface {
	// Exchange sends req to the steward at address and returns its response.
	Exchange(ctx context.Context, address string, req *api.ExchangeRequest) (*api.ExchangeResponse, error)
}

// Gossip runs the gossip exchanges of one steward. It is safe for concurrent use.
type Gossip struct {
	self Self
	// interval is the time between regular rounds.
	interval time.Duration
	store    *gossip.Store
	dialer   Dialer
	log      *telemetry.Logger

	// mu guards syncStates, rounds and leaving.
	mu sync.Mutex
	// syncStates holds the replication state of each peer, by VM name.
	syncStates map[string]syncState
	// rounds counts the regular rounds.
	rounds int
	// leaving is set once Stop has ended the rounds.
	leaving bool
	// urgent requests an urgent round. Requests that arrive before it starts are merged.
	urgent chan struct{}

	background kernel.Background
}

// syncState records how much of each other's change logs this steward and a peer hold.
type syncState struct {
	// incarnation is the peer's incarnation that receivedIndex belongs to.
	incarnation uint64
	// sentIndex is the index of the local log up to which the peer holds all changes.
	sentIndex uint64
	// receivedIndex is the index of the peer's log up to which this steward holds all changes.
	receivedIndex uint64
}

// New returns the gossip of the steward self, with a regular round every interval. The store
// initially receives self and the seeds, all of them alive.
func New(self Self, interval time.Duration, store *gossip.Store, dialer Dialer, seeds []Seed, log *telemetry.Logger) *Gossip {
	g := &Gossip{
		self: self, interval: interval, store: store, dialer: dialer, log: log,
		syncStates: map[string]syncState{}, urgent: make(chan struct{}, 1),
	}
	var items []*api.Item
	for _, s := range seeds {
		if s.VM != self.VM {
			items = append(items, peerItem(s.VM, s.DataCentre, s.Address, 0, 0, api.PeerState_PEER_ALIVE))
		}
	}
	items = append(items, peerItem(self.VM, self.DataCentre, self.Address, self.Incarnation, 0, api.PeerState_PEER_ALIVE))
	store.Merge(items, "")
	return g
}

// Seed is a steward that is listed in the settings.
type Seed struct {
	VM         string
	DataCentre string
	Address    string
}

// peerItem returns the item that announces a steward's address and state.
func peerItem(vm, dataCentre, address string, incarnation, seq uint64, state api.PeerState) *api.Item {
	return &api.Item{Key: gossip.PeerKey(vm), Epoch: incarnation, Seq: seq, Body: &api.Item_Peer{
		Peer: &api.Peer{DataCentre: dataCentre, Address: address, State: state},
	}}
}

// Start starts the rounds in the background. It never fails.
func (g *Gossip) Start(context.Context) error {
	g.background.Run(g.run)
	return nil
}

// Stop ends the rounds and then announces to a few peers of the data centre that this steward
// is leaving.
func (g *Gossip) Stop(ctx context.Context) error {
	if err := g.background.Stop(ctx); err != nil {
		return err
	}
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	g.setOwnState(api.PeerState_PEER_LEAVING)
	g.exchangeAll(ctx, g.randomPeers(urgentFanout, g.inSameDataCentre))
	return nil
}

// RequestUrgentRound requests an urgent round, to propagate a change before the next regular round. It
// does not block.
func (g *Gossip) RequestUrgentRound() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// run performs regular and urgent rounds until ctx ends.
func (g *Gossip) run(ctx context.Context) {
	ticker := time.NewTicker(g.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.regularRound(ctx)
		case <-g.urgent:
			g.urgentRound(ctx)
		}
	}
}

// regularRound exchanges with one peer of the data centre, in some rounds also with one of
// another data centre and with one that is suspected.
func (g *Gossip) regularRound(ctx context.Context) {
	g.mu.Lock()
	g.rounds++
	n := g.rounds
	g.mu.Unlock()
	peers := g.randomPeers(1, g.inSameDataCentre)
	if n%otherDataCentreEvery == 0 {
		peers = append(peers, g.randomPeers(1, g.inOtherDataCentre)...)
	}
	if n%suspectRetryEvery == 0 {
		peers = append(peers, g.randomPeers(1, g.isSuspect)...)
	}
	g.exchangeAll(ctx, peers)
}

// urgentRound propagates a change of state to several peers of the data centre and one of
// another.
func (g *Gossip) urgentRound(ctx context.Context) {
	peers := g.randomPeers(urgentFanout, g.inSameDataCentre)
	peers = append(peers, g.randomPeers(1, g.inOtherDataCentre)...)
	g.exchangeAll(ctx, peers)
	kernel.Sleep(ctx, minUrgentInterval)
}

// inSameDataCentre reports whether p is alive and in this steward's data centre.
func (g *Gossip) inSameDataCentre(p *api.Peer) bool {
	return p.GetDataCentre() == g.self.DataCentre && p.GetState() == api.PeerState_PEER_ALIVE
}

// inOtherDataCentre reports whether p is alive and in another data centre.
func (g *Gossip) inOtherDataCentre(p *api.Peer) bool {
	return p.GetDataCentre() != g.self.DataCentre && p.GetState() == api.PeerState_PEER_ALIVE
}

// isSuspect reports whether p is suspected of having failed.
func (g *Gossip) isSuspect(p *api.Peer) bool { return p.GetState() == api.PeerState_PEER_SUSPECT }

// randomPeers returns up to n randomly chosen peers for which match returns true.
func (g *Gossip) randomPeers(n int, match func(*api.Peer) bool) []*api.Item {
	var out []*api.Item
	for _, it := range g.peers() {
		if gossip.NameOf(it.GetKey()) != g.self.VM && match(it.GetPeer()) {
			out = append(out, it)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// peers returns the items of all known stewards, this one included.
func (g *Gossip) peers() []*api.Item {
	var out []*api.Item
	for _, it := range g.store.Prefix(gossip.PeerKey("")) {
		if it.GetPeer() != nil {
			out = append(out, it)
		}
	}
	return out
}

// exchangeAll exchanges with each of the peers in parallel and waits for all to finish.
func (g *Gossip) exchangeAll(ctx context.Context, peers []*api.Item) {
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() { g.exchange(ctx, p) })
	}
	wg.Wait()
}

// exchange sends peer the items that it lacks, merges those that it returns and updates its
// sync state. A peer that does not respond becomes suspected. When there are more than
// probeThreshold items, only changes of load are sent with a probe; the rest follows if the
// peer's digest differs.
func (g *Gossip) exchange(ctx context.Context, peer *api.Item) {
	vm := gossip.NameOf(peer.GetKey())
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	p := g.syncStateOf(vm)
	req := g.newRequest(p)
	scope := g.scopeFor(vm, peer.GetPeer().GetDataCentre(), p.sentIndex)
	req.Items, req.Index = g.store.Since(p.sentIndex, scope)
	if len(req.GetItems()) > probeThreshold {
		scope.LoadOnly = true
		req.Items, _ = g.store.Since(p.sentIndex, scope)
		req.Probe = true
	}
	resp, err := g.dialer.Exchange(ctx, peer.GetPeer().GetAddress(), req)
	if err == nil && resp.GetWant() {
		resp, err = g.sendRest(ctx, peer, p.sentIndex, resp)
	}
	if err != nil {
		g.handleExchangeFailure(ctx, peer, err)
		return
	}
	g.merge(resp.GetItems(), vm)
	g.setSyncState(vm, syncState{incarnation: resp.GetIncarnation(), sentIndex: resp.GetReceived(), receivedIndex: resp.GetIndex()})
}

// newRequest returns an exchange request without items for a peer whose sync state is p.
func (g *Gossip) newRequest(p syncState) *api.ExchangeRequest {
	index, digest := g.store.Summary()
	return &api.ExchangeRequest{
		Vm: g.self.VM, Incarnation: g.self.Incarnation, DataCentre: g.self.DataCentre,
		Acked: p.receivedIndex, AckedIncarnation: p.incarnation,
		FromIndex: p.sentIndex, Index: index, Digest: digest,
	}
}

// sendRest follows up a probe after which the peer's digest differed. It merges the items in
// resp and sends the items changed after the local index sent, without those that resp holds
// in the same version.
func (g *Gossip) sendRest(ctx context.Context, peer *api.Item, sent uint64, resp *api.ExchangeResponse) (*api.ExchangeResponse, error) {
	vm := gossip.NameOf(peer.GetKey())
	g.merge(resp.GetItems(), vm)
	peerItems := make(map[string]*api.Item, len(resp.GetItems()))
	for _, it := range resp.GetItems() {
		peerItems[it.GetKey()] = it
	}
	req := g.newRequest(syncState{incarnation: resp.GetIncarnation(), sentIndex: sent, receivedIndex: resp.GetIndex()})
	items, index := g.store.Since(sent, gossip.Scope{})
	for _, it := range items {
		known := peerItems[it.GetKey()]
		if known == nil || known.GetEpoch() != it.GetEpoch() || known.GetSeq() != it.GetSeq() {
			req.Items = append(req.Items, it)
		}
	}
	req.Index = index
	return g.dialer.Exchange(ctx, peer.GetPeer().GetAddress(), req)
}

// scopeFor returns which items to send to a peer that holds the local log up to index held.
// Peers of other data centres get no changes of load. Items that came from the peer are not
// sent back, unless held is zero: the peer may have restarted and lost them.
func (g *Gossip) scopeFor(vm, dataCentre string, held uint64) gossip.Scope {
	s := gossip.Scope{StateOnly: dataCentre != g.self.DataCentre, MaxLoadItems: maxLoadItemsPerMessage}
	if held > 0 {
		s.ExcludePeer = vm
	}
	return s
}

// syncStateOf returns the replication state of the peer on vm.
func (g *Gossip) syncStateOf(vm string) syncState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.syncStates[vm]
}

// setSyncState replaces the replication state of the peer on vm.
func (g *Gossip) setSyncState(vm string, p syncState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncStates[vm] = p
}

// Serve handles an exchange request from a peer: it merges the peer's items and returns those
// that the peer lacks. When the digests match, only changes of load are returned.
func (g *Gossip) Serve(req *api.ExchangeRequest) *api.ExchangeResponse {
	g.merge(req.GetItems(), req.GetVm())
	index, digest := g.store.Summary()
	same := digest == req.GetDigest()
	resp := &api.ExchangeResponse{Incarnation: g.self.Incarnation, Index: index}
	resp.Received, resp.Want = g.recordReceived(req, same)
	acked := req.GetAcked()
	if req.GetAckedIncarnation() != g.self.Incarnation {
		acked = 0
	}
	scope := g.scopeFor(req.GetVm(), req.GetDataCentre(), acked)
	scope.LoadOnly = same
	resp.Items, resp.Index = g.store.Since(acked, scope)
	return resp
}

// recordReceived updates how much of the peer's log is held here. It returns that index and
// whether the peer must send the items it held back for a probe. Items that start beyond the
// held index, as after a restart of this steward, leave a gap: the index does not advance, and
// the peer sends again from the index returned.
func (g *Gossip) recordReceived(req *api.ExchangeRequest, same bool) (held uint64, want bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.syncStates[req.GetVm()]
	if p.incarnation != req.GetIncarnation() {
		p = syncState{incarnation: req.GetIncarnation()}
	}
	switch {
	case req.GetProbe() && !same:
		want = true
	case same || req.GetFromIndex() <= p.receivedIndex:
		p.receivedIndex = max(p.receivedIndex, req.GetIndex())
	}
	g.syncStates[req.GetVm()] = p
	return p.receivedIndex, want
}

// merge adds items that came from the peer on VM from (empty for local ones) to the store. It
// refutes a suspicion of this steward and requests an urgent round if any state changed.
func (g *Gossip) merge(items []*api.Item, from string) {
	updated := g.store.Merge(items, from)
	stateChanged := false
	for _, it := range updated {
		if it.GetKey() == gossip.PeerKey(g.self.VM) {
			g.refuteSuspicion(it)
		}
		if g.store.LastChangeIsState(it.GetKey()) {
			stateChanged = true
		}
	}
	if stateChanged {
		g.RequestUrgentRound()
	}
}

// refuteSuspicion handles an update it of this steward's own peer item. If a peer has marked
// this incarnation as not alive, a newer item restores its state, unless the steward is leaving.
func (g *Gossip) refuteSuspicion(it *api.Item) {
	g.mu.Lock()
	leaving := g.leaving
	g.mu.Unlock()
	if leaving || it.GetPeer().GetState() == api.PeerState_PEER_ALIVE {
		return
	}
	if it.GetEpoch() == g.self.Incarnation {
		g.setOwnState(api.PeerState_PEER_ALIVE)
	}
}

// setOwnState stores the next version of this steward's own peer item, with the given state.
func (g *Gossip) setOwnState(state api.PeerState) {
	it := g.store.Get(gossip.PeerKey(g.self.VM))
	g.store.Merge([]*api.Item{peerItem(g.self.VM, g.self.DataCentre, g.self.Address, g.self.Incarnation, it.GetSeq()+1, state)}, "")
}

// handleExchangeFailure logs a failed exchange and marks a peer that was alive as suspected. A
// peer that is still running refutes the suspicion. An exchange that was cancelled here says
// nothing about the peer.
func (g *Gossip) handleExchangeFailure(ctx context.Context, peer *api.Item, err error) {
	if ctx.Err() != nil && context.Cause(ctx) == context.Canceled {
		return
	}
	p := peer.GetPeer()
	vm := gossip.NameOf(peer.GetKey())
	g.log.Warn(telemetry.EventGossipFailed, telemetry.F("peer", vm), telemetry.F("cause", err))
	if p.GetState() != api.PeerState_PEER_ALIVE {
		return
	}
	g.merge([]*api.Item{peerItem(vm, p.GetDataCentre(), p.GetAddress(), peer.GetEpoch(), peer.GetSeq()+1, api.PeerState_PEER_SUSPECT)}, "")
}

// Self returns the identity of this steward.
func (g *Gossip) Self() Self { return g.self }

// Alive returns the VMs of the data centre whose stewards are alive, including this one,
// sorted by name.
func (g *Gossip) Alive() []string {
	var out []string
	for _, it := range g.peers() {
		vm := gossip.NameOf(it.GetKey())
		if vm == g.self.VM || g.inSameDataCentre(it.GetPeer()) {
			out = append(out, vm)
		}
	}
	sort.Strings(out)
	return out
}

// Rank returns this steward's rank, from 0, for the task key among the alive stewards of its
// data centre. Stewards whose views differ may compute different ranks; a task is then done
// twice or slightly late.
func (g *Gossip) Rank(key string) int { return Rank(g.Alive(), g.self.VM, key) }

// Rank returns the rank of vm, from 0, for the task key among vms by rendezvous hashing.
func Rank(vms []string, vm, key string) int {
	own := rendezvousWeight(vm, key)
	rank := 0
	for _, other := range vms {
		if w := rendezvousWeight(other, key); w > own || (w == own && other < vm) {
			rank++
		}
	}
	return rank
}

// rendezvousWeight is the rendezvous hash of vm for the task key; the highest weight ranks
// first.
func rendezvousWeight(vm, key string) uint64 { return xxhash.Sum64String(vm + "\x00" + key) }
