package quarantine

import "time"

// maxSoundKeys bounds the keys in each generation of soundTimes.
const maxSoundKeys = 4096

// soundTimes holds when keys were last answered soundly. When a generation of keys is
// full, the one before it is forgotten.
type soundTimes struct {
	current, previous map[Key]time.Duration
}

// record records a sound answer to a key.
func (s *soundTimes) record(key Key, at time.Duration) {
	if s.current == nil || len(s.current) >= maxSoundKeys {
		s.current, s.previous = make(map[Key]time.Duration), s.current
	}
	known, _ := s.last(key)
	s.current[key] = max(known, at)
}

// last returns when the key was last answered soundly, and false if that is not known.
func (s *soundTimes) last(key Key) (time.Duration, bool) {
	if at, known := s.current[key]; known {
		return at, true
	}
	at, known := s.previous[key]
	return at, known
}
