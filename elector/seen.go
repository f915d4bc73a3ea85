package elector

import (
	"sync"
	"time"
)

const maxSeenTerms = 64 // that an entry node remembers

// seenTerms tells when this entry node first heard of the last terms.
type seenTerms struct {
	mu     sync.Mutex
	times  map[int64]time.Duration // by token
	tokens []int64                 // in the order in which they were added
}

// add notes that the term with the token has been heard of.
func (s *seenTerms) add(token int64, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.times[token]; ok {
		return
	}
	if s.times == nil {
		s.times = make(map[int64]time.Duration)
	}
	s.times[token] = now
	if s.tokens = append(s.tokens, token); len(s.tokens) > maxSeenTerms {
		delete(s.times, s.tokens[0])
		s.tokens = s.tokens[1:]
	}
}

// at returns when the term with the token was first heard of.
func (s *seenTerms) at(token int64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.times[token]
	return at, ok
}
