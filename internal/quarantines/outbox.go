package quarantines

import (
	"time"

	"github.com/poplarshore/poplarshore/quarantine"
)

const (
	// maxKeysPerMessage, maxSoundPerMessage and maxAlivePerMessage keep a message within a
	// datagram.
	maxKeysPerMessage  = 40
	maxSoundPerMessage = 10
	maxAlivePerMessage = 4
	// maxQueued bounds the crashes and sound answers that wait to be sent.
	maxQueued = 64
	// maxPerFlush bounds the messages sent at once.
	maxPerFlush = 8
	// repeatAfter is the time after which a report is sent a second time, as messages may
	// be lost.
	repeatAfter = 250 * time.Millisecond
)

// outbox gathers what the other VMs are to be told. Reports of one crash are sent
// together.
type outbox struct {
	crashes map[quarantine.Incarnation]quarantine.Crash
	sound   map[quarantine.Key]time.Duration
	alive   []Alive
	// repeats holds the messages to be sent again, oldest first.
	repeats []repeat
	// dropped counts what did not fit.
	dropped int
}

// repeat is a message to be sent again at a time on the VM's clock.
type repeat struct {
	at      time.Time
	message Message
}

func newOutbox() *outbox {
	return &outbox{crashes: make(map[quarantine.Incarnation]quarantine.Crash), sound: make(map[quarantine.Key]time.Duration)}
}

// addCrash queues a report. Those of the same crash are merged.
func (o *outbox) addCrash(c quarantine.Crash) {
	known, exists := o.crashes[c.Incarnation]
	if !exists && len(o.crashes) >= maxQueued {
		o.dropped++
		return
	}
	if exists {
		c.At = min(c.At, known.At)
		c.Suspects = append(known.Suspects, c.Suspects...)
	}
	o.crashes[c.Incarnation] = c
}

// addSound queues the report of a sound answer.
func (o *outbox) addSound(key quarantine.Key, at time.Duration) {
	if _, exists := o.sound[key]; !exists && len(o.sound) >= maxQueued {
		o.dropped++
		return
	}
	o.sound[key] = at
}

// isEmpty reports whether nothing is to be sent.
func (o *outbox) isEmpty() bool {
	return len(o.crashes) == 0 && len(o.sound) == 0 && len(o.alive) == 0 && len(o.repeats) == 0
}

// addAlive queues the report that an upstream is alive.
func (o *outbox) addAlive(a Alive) {
	if len(o.alive) >= maxQueued {
		o.dropped++
		return
	}
	o.alive = append(o.alive, a)
}

// takeDropped returns the number of reports that were dropped since the last call.
func (o *outbox) takeDropped() int {
	n := o.dropped
	o.dropped = 0
	return n
}

// flush returns the messages to send now, at most maxPerFlush, and keeps the rest.
func (o *outbox) flush(now time.Time) []Message {
	var messages []Message
	for len(o.repeats) > 0 && !o.repeats[0].at.After(now) && len(messages) < maxPerFlush {
		messages = append(messages, o.repeats[0].message)
		o.repeats = o.repeats[1:]
	}
	for len(messages) < maxPerFlush {
		m, ok := o.next()
		if !ok {
			break
		}
		messages = append(messages, m)
		if len(o.repeats) < maxQueued {
			o.repeats = append(o.repeats, repeat{at: now.Add(repeatAfter), message: m})
		}
	}
	return messages
}

// next takes the next message from the queues.
func (o *outbox) next() (Message, bool) {
	for incarnation, c := range o.crashes {
		var rest []quarantine.Suspect
		c.Suspects, rest = splitSuspects(c.Suspects)
		delete(o.crashes, incarnation)
		if len(rest) > 0 {
			o.crashes[incarnation] = quarantine.Crash{Incarnation: incarnation, At: c.At, Suspects: rest}
		}
		return Message{Crashes: []quarantine.Crash{c}}, true
	}
	var m Message
	fitting := min(len(o.alive), maxAlivePerMessage)
	m.Alive, o.alive = o.alive[:fitting:fitting], o.alive[fitting:]
	for key, at := range o.sound {
		if len(m.Sound) == maxSoundPerMessage {
			break
		}
		m.Sound = append(m.Sound, Sound{Key: key, At: at})
		delete(o.sound, key)
	}
	return m, len(m.Sound)+len(m.Alive) > 0
}

// splitSuspects returns the suspects that fit into a message, and the rest. Of a suspect
// with more keys than that only the last ones are told, which the fewest requests share.
func splitSuspects(suspects []quarantine.Suspect) (first, rest []quarantine.Suspect) {
	keys := 0
	for i, s := range suspects {
		s.Keys = s.Keys[max(len(s.Keys)-maxKeysPerMessage, 0):]
		if keys += len(s.Keys); keys > maxKeysPerMessage {
			return first, suspects[i:]
		}
		first = append(first, s)
	}
	return first, nil
}
