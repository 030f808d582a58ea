package quarantines

import (
	"maps"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/quarantine"
	"github.com/poplarshore/poplarshore/upstream"
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
	// repeatTurn is Message.Turn of a message that is sent a second time, so that it is passed on
	// by other VMs than the first time.
	repeatTurn = 1
)

// outbox gathers what the other VMs are to be told. Reports of one crash are sent
// together.
type outbox struct {
	crashes map[quarantine.Incarnation]quarantine.Crash
	sound   map[quarantine.Key]soundReport
	alive   []Alive
	// repeatable is set if messages are sent a second time.
	repeatable bool
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

// soundReport is a sound answer to be told.
type soundReport struct {
	at time.Duration
	// topic is the upstream whose crash the answer clears the key of.
	topic upstream.ID
}

func newOutbox() *outbox {
	return &outbox{crashes: make(map[quarantine.Incarnation]quarantine.Crash), sound: make(map[quarantine.Key]soundReport)}
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

// addSound queues the report of a sound answer, which clears the key of a crash of topic.
func (o *outbox) addSound(key quarantine.Key, at time.Duration, topic upstream.ID) {
	if _, exists := o.sound[key]; !exists && len(o.sound) >= maxQueued {
		o.dropped++
		return
	}
	o.sound[key] = soundReport{at: at, topic: topic}
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

// dropRepeats removes the crashes that isOver returns true for from the messages to be sent
// again.
func (o *outbox) dropRepeats(isOver func(quarantine.Crash) bool) {
	o.repeats = slices.DeleteFunc(o.repeats, func(r repeat) bool {
		return len(r.message.Crashes) > 0 && !slices.ContainsFunc(r.message.Crashes, func(c quarantine.Crash) bool { return !isOver(c) })
	})
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
		if o.repeatable && len(o.repeats) < maxQueued {
			m.Turn = repeatTurn
			o.repeats = append(o.repeats, repeat{at: now.Add(repeatAfter), message: m})
		}
	}
	return messages
}

// next takes the next message from the queues.
func (o *outbox) next() (Message, bool) {
	if len(o.crashes) > 0 {
		return Message{Crashes: []quarantine.Crash{o.nextCrash()}}, true
	}
	m := Message{Topic: o.firstTopic()}
	o.alive = slices.DeleteFunc(o.alive, func(a Alive) bool {
		taken := a.Upstream == m.Topic && len(m.Alive) < maxAlivePerMessage
		if taken {
			m.Alive = append(m.Alive, a)
		}
		return taken
	})
	for _, key := range slices.SortedFunc(maps.Keys(o.sound), quarantine.Key.Compare) {
		if s := o.sound[key]; s.topic == m.Topic && len(m.Sound) < maxSoundPerMessage {
			m.Sound = append(m.Sound, Sound{Key: key, At: s.at})
			delete(o.sound, key)
		}
	}
	return m, len(m.Sound)+len(m.Alive) > 0
}

// nextCrash takes a crash from the queue, the oldest first, with as many suspects as fit into a
// message.
func (o *outbox) nextCrash() quarantine.Crash {
	c := slices.MinFunc(slices.Collect(maps.Values(o.crashes)), quarantine.Crash.Compare)
	var rest []quarantine.Suspect
	c.Suspects, rest = splitSuspects(c.Suspects)
	delete(o.crashes, c.Incarnation)
	if len(rest) > 0 {
		o.crashes[c.Incarnation] = quarantine.Crash{Incarnation: c.Incarnation, At: c.At, Suspects: rest}
	}
	return c
}

// firstTopic returns the upstream that the next message without crashes is about. Messages
// on different upstreams are passed on by different VMs, so they are not merged.
func (o *outbox) firstTopic() upstream.ID {
	if len(o.alive) > 0 {
		return o.alive[0].Upstream
	}
	if len(o.sound) == 0 {
		return ""
	}
	return o.sound[slices.MinFunc(slices.Collect(maps.Keys(o.sound)), quarantine.Key.Compare)].topic
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
