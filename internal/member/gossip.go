// Package member knows the stewards: who is alive, suspect or leaving, learned
// from exchanges with a few of them at a time, and it carries the gossip that
// spreads state among them.
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
	// loadItemsPerRound bounds the load reports in one message. With about
	// two messages sent and two received a second, of 70 bytes a report, and
	// the polls of targets beside them, it keeps a node's control traffic
	// within 3 KB a second at any size.
	loadItemsPerRound = 4
	// probeAbove is how many items are sent without asking first whether the
	// other side has them already.
	probeAbove = 16
	// rumourFanout is how many peers of the data centre are told at once of
	// a change of state.
	rumourFanout = 8
	// rumourSpacing is the least time between two such rounds.
	rumourSpacing = 50 * time.Millisecond
	// otherCentreEvery is how many rounds pass between exchanges with
	// another data centre.
	otherCentreEvery = 2
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// suspectEvery is how many rounds pass between tries of a peer that was
	// given up, so that a healed partition is noticed.
	suspectEvery = 3
)

// Self is this steward.
type Self struct {
	VM          string
	DataCentre  string
	Address     string
	Incarnation uint64
}

// Dialer reaches other stewards.
type Dialer interface {
	// Exchange carries one round of gossip to the steward at address.
	Exchange(ctx context.Context, address string, req *api.ExchangeRequest) (*api.ExchangeResponse, error)
}

// Gossip runs the exchanges of one steward. It is safe for concurrent use.
type Gossip struct {
	self     Self
	interval time.Duration
	store    *gossip.Store
	dialer   Dialer
	log      *telemetry.Logger

	mu       sync.Mutex
	progress map[string]progress
	rounds   int
	leaving  bool
	rumours  chan struct{}

	background kernel.Background
}

// progress is how far this steward and a peer have each other's logs.
type progress struct {
	incarnation uint64
	// sent is the own index that the peer holds.
	sent uint64
	// received is the peer's index that is held here.
	received uint64
}

// New returns the gossip of self, which knows the seeds from the start.
func New(self Self, interval time.Duration, store *gossip.Store, dialer Dialer, seeds []Seed, log *telemetry.Logger) *Gossip {
	g := &Gossip{
		self: self, interval: interval, store: store, dialer: dialer, log: log,
		progress: map[string]progress{}, rumours: make(chan struct{}, 1),
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

// Seed is a steward known from the settings.
type Seed struct {
	VM         string
	DataCentre string
	Address    string
}

func peerItem(vm, dataCentre, address string, incarnation, seq uint64, state api.PeerState) *api.Item {
	return &api.Item{Key: gossip.PeerKey(vm), Epoch: incarnation, Seq: seq, Body: &api.Item_Peer{
		Peer: &api.Peer{DataCentre: dataCentre, Address: address, State: state},
	}}
}

// Start begins the rounds.
func (g *Gossip) Start(context.Context) error {
	g.background.Run(g.run)
	return nil
}

// Stop tells a few peers that this steward leaves and ends the rounds.
func (g *Gossip) Stop(ctx context.Context) error {
	if err := g.background.Stop(ctx); err != nil {
		return err
	}
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	g.setSelf(api.PeerState_PEER_LEAVING)
	g.tell(ctx, g.pick(rumourFanout, g.sameCentre))
	return nil
}

// Spread asks for an early round, after a change that must not wait.
func (g *Gossip) Spread() {
	select {
	case g.rumours <- struct{}{}:
	default:
	}
}

func (g *Gossip) run(ctx context.Context) {
	ticker := time.NewTicker(g.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.round(ctx)
		case <-g.rumours:
			g.rumour(ctx)
		}
	}
}

// round is the regular exchange: with one peer of the data centre, at times
// with one of another and with one that was given up.
func (g *Gossip) round(ctx context.Context) {
	g.mu.Lock()
	g.rounds++
	n := g.rounds
	g.mu.Unlock()
	peers := g.pick(1, g.sameCentre)
	if n%otherCentreEvery == 0 {
		peers = append(peers, g.pick(1, g.otherCentre)...)
	}
	if n%suspectEvery == 0 {
		peers = append(peers, g.pick(1, g.suspect)...)
	}
	g.tell(ctx, peers)
}

// rumour spreads a change of state at once.
func (g *Gossip) rumour(ctx context.Context) {
	peers := g.pick(rumourFanout, g.sameCentre)
	peers = append(peers, g.pick(1, g.otherCentre)...)
	g.tell(ctx, peers)
	kernel.Sleep(ctx, rumourSpacing)
}

func (g *Gossip) sameCentre(p *api.Peer) bool {
	return p.GetDataCentre() == g.self.DataCentre && p.GetState() == api.PeerState_PEER_ALIVE
}

func (g *Gossip) otherCentre(p *api.Peer) bool {
	return p.GetDataCentre() != g.self.DataCentre && p.GetState() == api.PeerState_PEER_ALIVE
}

func (g *Gossip) suspect(p *api.Peer) bool { return p.GetState() == api.PeerState_PEER_SUSPECT }

// pick returns up to n random peers that fit.
func (g *Gossip) pick(n int, fits func(*api.Peer) bool) []*api.Item {
	var out []*api.Item
	for _, it := range g.peers() {
		if gossip.NameOf(it.GetKey()) != g.self.VM && fits(it.GetPeer()) {
			out = append(out, it)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

func (g *Gossip) peers() []*api.Item {
	var out []*api.Item
	for _, it := range g.store.Prefix(gossip.PeerKey("")) {
		if it.GetPeer() != nil {
			out = append(out, it)
		}
	}
	return out
}

// tell exchanges with each of the peers, all at once.
func (g *Gossip) tell(ctx context.Context, peers []*api.Item) {
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() { g.exchange(ctx, p) })
	}
	wg.Wait()
}

func (g *Gossip) exchange(ctx context.Context, peer *api.Item) {
	vm := gossip.NameOf(peer.GetKey())
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	p := g.progressOf(vm)
	req := g.request(p)
	scope := g.scope(vm, peer.GetPeer().GetDataCentre(), p.sent)
	req.Items, req.Index = g.store.Since(p.sent, scope)
	if len(req.GetItems()) > probeAbove {
		scope.LoadOnly = true
		req.Items, _ = g.store.Since(p.sent, scope)
		req.Probe = true
	}
	resp, err := g.dialer.Exchange(ctx, peer.GetPeer().GetAddress(), req)
	if err == nil && resp.GetWant() {
		resp, err = g.sendRest(ctx, peer, p.sent, resp)
	}
	if err != nil {
		g.failed(ctx, peer, err)
		return
	}
	g.merge(resp.GetItems(), vm)
	g.setProgress(vm, progress{incarnation: resp.GetIncarnation(), sent: resp.GetReceived(), received: resp.GetIndex()})
}

// request is an exchange without items.
func (g *Gossip) request(p progress) *api.ExchangeRequest {
	index, digest := g.store.Summary()
	return &api.ExchangeRequest{
		Vm: g.self.VM, Incarnation: g.self.Incarnation, DataCentre: g.self.DataCentre,
		Acked: p.received, AckedIncarnation: p.incarnation,
		FromIndex: p.sent, Index: index, Digest: digest,
	}
}

// sendRest follows up a probe that showed a difference: it takes in what the
// peer has sent and sends what changed after sent and the peer did not show to
// have.
func (g *Gossip) sendRest(ctx context.Context, peer *api.Item, sent uint64, resp *api.ExchangeResponse) (*api.ExchangeResponse, error) {
	vm := gossip.NameOf(peer.GetKey())
	g.merge(resp.GetItems(), vm)
	has := make(map[string]*api.Item, len(resp.GetItems()))
	for _, it := range resp.GetItems() {
		has[it.GetKey()] = it
	}
	req := g.request(progress{incarnation: resp.GetIncarnation(), sent: sent, received: resp.GetIndex()})
	items, index := g.store.Since(sent, gossip.Scope{})
	for _, it := range items {
		h := has[it.GetKey()]
		if h == nil || h.GetEpoch() != it.GetEpoch() || h.GetSeq() != it.GetSeq() {
			req.Items = append(req.Items, it)
		}
	}
	req.Index = index
	return g.dialer.Exchange(ctx, peer.GetPeer().GetAddress(), req)
}

// scope bounds what a peer is sent that holds this log up to held: another
// data centre gets no loads, and what came from the peer is not sent back,
// unless the peer holds nothing: it may have started anew since.
func (g *Gossip) scope(vm, dataCentre string, held uint64) gossip.Scope {
	s := gossip.Scope{StateOnly: dataCentre != g.self.DataCentre, MaxLoadItems: loadItemsPerRound}
	if held > 0 {
		s.ExcludePeer = vm
	}
	return s
}

func (g *Gossip) progressOf(vm string) progress {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.progress[vm]
}

func (g *Gossip) setProgress(vm string, p progress) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.progress[vm] = p
}

// Serve answers an exchange that a peer began.
func (g *Gossip) Serve(req *api.ExchangeRequest) *api.ExchangeResponse {
	g.merge(req.GetItems(), req.GetVm())
	index, digest := g.store.Summary()
	same := digest == req.GetDigest()
	resp := &api.ExchangeResponse{Incarnation: g.self.Incarnation, Index: index}
	resp.Received, resp.Want = g.received(req, same)
	acked := req.GetAcked()
	if req.GetAckedIncarnation() != g.self.Incarnation {
		acked = 0
	}
	scope := g.scope(req.GetVm(), req.GetDataCentre(), acked)
	scope.LoadOnly = same
	resp.Items, resp.Index = g.store.Since(acked, scope)
	return resp
}

// received notes how much of the peer's log has arrived, and whether more must
// be sent. Items from a point beyond what is held, as after a restart here,
// leave a gap: the peer then begins anew.
func (g *Gossip) received(req *api.ExchangeRequest, same bool) (held uint64, want bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.progress[req.GetVm()]
	if p.incarnation != req.GetIncarnation() {
		p = progress{incarnation: req.GetIncarnation()}
	}
	switch {
	case req.GetProbe() && !same:
		want = true
	case same || req.GetFromIndex() <= p.received:
		p.received = max(p.received, req.GetIndex())
	}
	g.progress[req.GetVm()] = p
	return p.received, want
}

// merge takes in items, defends this steward's own standing and spreads news.
func (g *Gossip) merge(items []*api.Item, from string) {
	news := g.store.Merge(items, from)
	spread := false
	for _, it := range news {
		if it.GetKey() == gossip.PeerKey(g.self.VM) {
			g.defend(it)
		}
		if g.store.IsState(it.GetKey()) {
			spread = true
		}
	}
	if spread {
		g.Spread()
	}
}

// defend answers a suspicion of this steward with a newer word on itself.
func (g *Gossip) defend(it *api.Item) {
	g.mu.Lock()
	leaving := g.leaving
	g.mu.Unlock()
	if leaving || it.GetPeer().GetState() == api.PeerState_PEER_ALIVE {
		return
	}
	if it.GetEpoch() == g.self.Incarnation {
		g.setSelf(api.PeerState_PEER_ALIVE)
	}
}

func (g *Gossip) setSelf(state api.PeerState) {
	it := g.store.Get(gossip.PeerKey(g.self.VM))
	g.store.Merge([]*api.Item{peerItem(g.self.VM, g.self.DataCentre, g.self.Address, g.self.Incarnation, it.GetSeq()+1, state)}, "")
}

// failed spreads the suspicion that a peer is gone. A peer that is alive
// refutes it.
func (g *Gossip) failed(ctx context.Context, peer *api.Item, err error) {
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

// Self returns what this steward calls itself.
func (g *Gossip) Self() Self { return g.self }

// Alive returns the VMs of the data centre whose stewards are alive, this one
// included, by name.
func (g *Gossip) Alive() []string {
	var out []string
	for _, it := range g.peers() {
		vm := gossip.NameOf(it.GetKey())
		if vm == g.self.VM || g.sameCentre(it.GetPeer()) {
			out = append(out, vm)
		}
	}
	sort.Strings(out)
	return out
}

// Rank returns this steward's place for the task called key among the alive
// stewards of its data centre, from 0. Views that differ only make a task be
// done twice or a moment late.
func (g *Gossip) Rank(key string) int { return Rank(g.Alive(), g.self.VM, key) }

// Rank returns vm's place for key among vms by rendezvous hashing.
func Rank(vms []string, vm, key string) int {
	own := weight(vm, key)
	rank := 0
	for _, other := range vms {
		if w := weight(other, key); w > own || (w == own && other < vm) {
			rank++
		}
	}
	return rank
}

func weight(vm, key string) uint64 { return xxhash.Sum64String(vm + "\x00" + key) }
