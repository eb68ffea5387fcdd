package model

import (
	"sort"

	"garnethoist.org/garnethoist/internal/place"
)

// hotShareCandidates are the shares of the sessions that are tried as hot sessions, by number
// of requests, and coldEngineCandidates the numbers of engines that are tried for the
// remaining, cold sessions.
var (
	hotShareCandidates   = []float64{1, 0.8, 0.6, 0.5, 0.4, 0.3, 0.2}
	coldEngineCandidates = []int{1, 2, 3}
)

// BestHitRate returns the highest share of shared prompt tokens that is found in cache under
// any of the tried assignments of sessions to engines. Each hot session is assigned to one
// engine, and the cold sessions share a few engines. All requests are served in order of
// arrival. An engine's whole cache holds prompt parts, evicted in least-recently-used order;
// the requests' own parts pass through it as well.
func BestHitRate(s *Site, requests []*Request) float64 {
	engines := 0
	for _, dc := range s.DataCentres {
		engines += dc.Engines
	}
	rank := sessionRanks(requests)
	best := 0.0
	for _, hot := range hotShareCandidates {
		for _, cold := range coldEngineCandidates {
			if hot == 1 {
				cold = 0
			}
			if cold < engines {
				best = max(best, assignedHitRate(s, requests, rank, int(hot*float64(len(rank))), engines-cold, cold))
			}
		}
	}
	return best
}

// session returns the hash of a prompt's last shared part, which identifies its session.
func session(q *place.Prompt) uint64 { return q.Parts[max(len(q.Parts)-2, 0)].Hash }

// sessionRanks ranks the sessions by number of requests, the most requested first.
func sessionRanks(requests []*Request) map[uint64]int {
	counts := make(map[uint64]int)
	var all []uint64
	for _, r := range requests {
		if len(r.Prompt.Parts) == 0 {
			continue
		}
		h := session(r.Prompt)
		if counts[h] == 0 {
			all = append(all, h)
		}
		counts[h]++
	}
	sort.SliceStable(all, func(i, j int) bool { return counts[all[i]] > counts[all[j]] })
	rank := make(map[uint64]int, len(all))
	for i, h := range all {
		rank[h] = i
	}
	return rank
}

// assignedHitRate returns the share of shared prompt tokens that is found in cache when the
// first hotSessions sessions by rank are assigned to hotEngines engines and the others to
// coldEngines more. With no cold engines all sessions share the hot ones.
func assignedHitRate(s *Site, requests []*Request, rank map[uint64]int, hotSessions, hotEngines, coldEngines int) float64 {
	caches := make([]*kvCache, hotEngines+coldEngines)
	for i := range caches {
		caches[i] = newKVCache(s.Engine.KVTokens)
	}
	shared, cached := 0, 0
	for _, r := range requests {
		parts := r.Prompt.Parts
		if len(parts) == 0 {
			continue
		}
		index := rank[session(r.Prompt)]
		if index < hotSessions || coldEngines == 0 {
			index %= hotEngines
		} else {
			index = hotEngines + index%coldEngines
		}
		n := caches[index].prefillOnce(parts)
		own := parts[len(parts)-1].Tokens
		shared += r.Prompt.Tokens - own
		cached += min(n, r.Prompt.Tokens-own)
	}
	return ratio(float64(cached), float64(shared))
}

// prefillOnce processes a prompt and releases it at once. It returns the number of tokens at
// the start of the prompt that were cached.
func (c *kvCache) prefillOnce(parts []place.Part) int {
	cached, known := 0, 0
	for _, p := range parts {
		if !c.pin(p.Hash) {
			break
		}
		known++
		cached += p.Tokens
	}
	for _, p := range parts[known:] {
		if c.reserve(p.Tokens) {
			c.release(p.Tokens)
			c.insert(p.Hash, p.Tokens)
			known++
		} else {
			break
		}
	}
	for _, p := range parts[:known] {
		c.unpin(p.Hash)
	}
	return cached
}
