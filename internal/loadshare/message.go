package loadshare

import (
	"encoding/binary"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

var namespace = errorx.NewNamespace("loadshare")

// ErrMalformed is returned for a message that can't be decoded.
var ErrMalformed = namespace.NewType("malformed")

// MaxReportAge is the greatest age of a load report that is passed on.
const MaxReportAge = 2 * time.Second

// Entry is what a VM knows of one upstream.
type Entry struct {
	// Key identifies the upstream and its incarnation; see UpstreamKey.
	Key uint64
	// HasReport reports whether Running, Waiting and Age are known: the numbers of requests
	// on the upstream by its report, and the age of that report.
	HasReport        bool
	Running, Waiting int
	Age              time.Duration
	// Speed is how much longer than usual the upstream takes for an event, and Weight the
	// number of gaps between events by which that is known; zero if unknown.
	Speed, Weight float64
}

// Usual is a VM's estimate of the usual time between two events of a model in a service. The
// speeds in a message are multiples of it, and VMs differ in it by a common factor.
type Usual struct {
	// Key identifies the service and the model; see ModelKey.
	Key uint32
	Gap time.Duration
}

// Message is the content of a datagram.
type Message struct {
	Usuals  []Usual
	Entries []Entry
}

// UpstreamKey returns the key of an upstream's incarnation. A report on an earlier incarnation
// has another key and is therefore not used for the present one.
func UpstreamKey(id upstream.ID, incarnation int64) uint64 {
	return xxhash.Sum64String(string(id)+"\x00"+strconv.FormatInt(incarnation, 10)) & maxKey
}

// ModelKey returns the key of a model in a service.
func ModelKey(service string, name model.Name) uint32 {
	return uint32(xxhash.Sum64String(service + "\x00" + string(name)))
}

const (
	// encodingVersion is the first byte of a message.
	encodingVersion = 1
	// headerBytes and usualBytes are the lengths of the header and of a usual gap.
	headerBytes = 2
	usualBytes  = 8
	// keyBytes is the length of an upstream's key, and maxKey the largest one: with 1,000 upstreams two of them have the
	// same key with a probability of less than one in a million.
	keyBytes, maxKey = 5, 1<<40 - 1
	// entryBytes is the length of an entry: its key, 2 bytes of running requests and 4 of one byte.
	entryBytes = keyBytes + 6
	// maxUsuals bounds the usual gaps in a message.
	maxUsuals = 8
	// MaxMessageBytes bounds an encoded message, so that a datagram with it in base64 and the
	// other fields of a hint has at most 1,200 bytes.
	MaxMessageBytes = 864
	// MaxEntries is the number of upstreams that always fit into a message.
	MaxEntries = (MaxMessageBytes - headerBytes - maxUsuals*usualBytes) / entryBytes

	// ageUnit is the unit of ages in a message, and noReport is sent as the age if there is no report.
	ageUnit  = 10 * time.Millisecond
	noReport = math.MaxUint8
	// speedSteps is the number of encoded steps in which a speed doubles, and speedOfOne the
	// step of speed 1. Step 0 stands for an unknown speed.
	speedSteps = 32
	speedOfOne = 128
	// maxSpeed bounds speeds in both directions, maxWeight their weight, in gaps, and maxRunning
	// and maxWaiting the requests in a report.
	maxSpeed   = 8
	maxWeight  = 100
	maxRunning = 10_000
	maxWaiting = math.MaxUint8
	// minGap and maxGap bound usual gaps.
	minGap, maxGap = 100 * time.Microsecond, 10 * time.Second
)

// Encode returns the encoded message with at most MaxEntries entries and MaxMessageBytes bytes.
func (m *Message) Encode() []byte {
	usuals := m.Usuals[:min(len(m.Usuals), maxUsuals)]
	entries := m.Entries[:min(len(m.Entries), MaxEntries)]
	b := make([]byte, 0, headerBytes+len(usuals)*usualBytes+len(entries)*entryBytes)
	b = append(b, encodingVersion, byte(len(usuals)))
	for _, u := range usuals {
		b = binary.BigEndian.AppendUint32(b, u.Key)
		b = binary.BigEndian.AppendUint32(b, uint32(min(max(u.Gap, minGap), maxGap)/time.Microsecond))
	}
	for i := range entries {
		b = entries[i].appendTo(b)
	}
	return b
}

// appendTo appends the encoded entry to b.
func (e *Entry) appendTo(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(e.Key>>8))
	b = append(b, byte(e.Key))
	b = binary.BigEndian.AppendUint16(b, uint16(min(max(e.Running, 0), maxRunning)))
	b = append(b, byte(min(max(e.Waiting, 0), maxWaiting)))
	age := byte(noReport)
	if e.HasReport && e.Age <= MaxReportAge {
		// Rounded up, so that a report never becomes younger by being passed on.
		age = byte((max(e.Age, 0) + ageUnit - 1) / ageUnit)
	}
	speed, weight := byte(0), byte(0)
	if e.Speed > 0 && e.Weight >= 1 {
		speed = byte(math.Round(math.Log2(min(max(e.Speed, 1.0/maxSpeed), maxSpeed))*speedSteps)) + speedOfOne
		weight = byte(min(e.Weight, maxWeight))
	}
	return append(b, age, speed, weight)
}

// Decode decodes a message from another VM. Values out of bounds are clamped, and an entry that
// says nothing is left out. A later version of the encoding is malformed for this one.
// Errors: ErrMalformed.
func Decode(b []byte) (Message, error) {
	var m Message
	if len(b) < headerBytes || len(b) > MaxMessageBytes || b[0] != encodingVersion {
		return m, ErrMalformed.New("message of %d bytes is empty, too long or not of version %d", len(b), encodingVersion)
	}
	usuals := int(b[1])
	b = b[headerBytes:]
	if usuals > maxUsuals || len(b) < usuals*usualBytes || (len(b)-usuals*usualBytes)%entryBytes != 0 {
		return m, ErrMalformed.New("%d usual gaps in a message with %d bytes", usuals, len(b))
	}
	for ; usuals > 0; usuals-- {
		gap := time.Duration(binary.BigEndian.Uint32(b[4:])) * time.Microsecond
		if gap >= minGap && gap <= maxGap {
			m.Usuals = append(m.Usuals, Usual{Key: binary.BigEndian.Uint32(b), Gap: gap})
		}
		b = b[usualBytes:]
	}
	m.Entries = make([]Entry, 0, len(b)/entryBytes)
	for ; len(b) > 0; b = b[entryBytes:] {
		if e := decodeEntry(b); e.HasReport || e.Weight > 0 {
			m.Entries = append(m.Entries, e)
		}
	}
	return m, nil
}

// decodeEntry decodes the entry at the start of b.
func decodeEntry(b []byte) Entry {
	e := Entry{Key: uint64(binary.BigEndian.Uint32(b))<<8 | uint64(b[4])}
	if age := time.Duration(b[8]) * ageUnit; age <= MaxReportAge {
		e.HasReport, e.Age = true, age
		e.Running, e.Waiting = min(int(binary.BigEndian.Uint16(b[keyBytes:])), maxRunning), int(b[7])
	}
	if b[9] > 0 && b[10] > 0 {
		speed := math.Exp2(float64(int(b[9])-speedOfOne) / speedSteps)
		e.Speed = min(max(speed, 1.0/maxSpeed), maxSpeed)
		e.Weight = min(float64(b[10]), maxWeight)
	}
	return e
}
