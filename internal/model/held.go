package model

import (
	"sort"

	"garnethoist.org/garnethoist/internal/place"
)

// A session is all requests whose prompts have the same last shared part. The sessions with the
// most requests are hot, the others cold.
var (
	// hotShareCandidates holds the fractions of hot sessions that BestHitRate tries, and
	// coldEngineCandidates the numbers of engines that it tries for the cold sessions.
	hotShareCandidates   = []float64{1, 0.8, 0.6, 0.5, 0.4, 0.3, 0.2}
	coldEngineCandidates = []int{1, 2, 3}
)

// BestHitRate returns the highest fraction of shared prompt tokens that is found in cache under
// any of the tried assignments of sessions to engines. Hot sessions are spread over most of the
// engines, and cold sessions over a few others; each session has one engine. All requests are
// served in order of arrival. An engine's whole cache holds prompt parts, evicted in
// least-recently-used order; the requests' own parts pass through it as well.
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

// session returns the hash of a prompt's last shared part, which identifies the session.
func session(prompt *place.Prompt) uint64 { return prompt.Parts[max(len(prompt.Parts)-2, 0)].Hash }

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

// assignedHitRate returns the fraction of shared prompt tokens that is found in cache when the
// first hotSessions sessions by rank are assigned to hotEngines engines and the others to
// coldEngines others. If coldEngines is 0, all sessions are assigned to the hot engines.
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

// prefillOnce caches the parts of a prompt, as far as there is space, and leaves them unpinned. It
// returns the number of tokens at the start of the prompt that were cached before.
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
