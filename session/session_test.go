package session_test

import (
	"encoding/base64"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/session"
	"github.com/poplarshore/poplarshore/upstream"
)

func TestSession(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "session")
}

var (
	now  = time.Unix(1_800_000_000, 0)
	oldK = session.Key{ID: "k1", Secret: []byte(strings.Repeat("1", 32))}
	newK = session.Key{ID: "k2", Secret: []byte(strings.Repeat("2", 32))}
	pin  = session.Pin{Model: "strong", Version: "v1", Engine: "e7"}
)

func ring(keys ...session.Key) *session.Keyring {
	r, err := session.NewKeyring(keys)
	if err != nil {
		panic(err)
	}
	return r
}

func sample() session.Session {
	s, err := session.New(42, "acme", now, time.Hour).WithPin(pin)
	if err != nil {
		panic(err)
	}
	return s
}

func signed(r *session.Keyring, s session.Session) string {
	token, err := r.Sign(s)
	if err != nil {
		panic(err)
	}
	return token
}

func ofType(t *errorx.Type) OmegaMatcher {
	return WithTransform(func(err error) bool { return errorx.IsOfType(err, t) }, BeTrue())
}

var _ = Describe("Keyring", func() {
	It("returns what it signed, also after the keys were rotated", func() {
		got, err := ring(newK, oldK).Verify(signed(ring(oldK), sample()), "acme", now)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(sample()))
	})

	It("does not verify a key that was taken out, or an older secret under the same id", func() {
		token := signed(ring(oldK), sample())
		_, err := ring(newK).Verify(token, "acme", now)
		Expect(err).To(ofType(session.ErrInvalid))
		_, err = ring(session.Key{ID: "k1", Secret: newK.Secret}).Verify(token, "acme", now)
		Expect(err).To(ofType(session.ErrInvalid))
	})

	It("tells an expired token and another account's apart", func() {
		r := ring(oldK)
		token := signed(r, sample())
		_, err := r.Verify(token, "acme", now.Add(time.Hour-time.Second))
		Expect(err).NotTo(HaveOccurred())
		_, err = r.Verify(token, "acme", now.Add(time.Hour))
		Expect(err).To(ofType(session.ErrExpired))
		_, err = r.Verify(token, "other", now)
		Expect(err).To(ofType(session.ErrWrongAccount))
	})

	It("refuses every change of one bit, and every cut", func() {
		r := ring(oldK)
		token := signed(r, sample())
		raw, _ := base64.RawURLEncoding.DecodeString(token)
		for i := range raw {
			for bit := range 8 {
				raw[i] ^= 1 << bit
				_, err := r.Verify(base64.RawURLEncoding.EncodeToString(raw), "acme", now)
				Expect(err).To(ofType(session.ErrInvalid))
				raw[i] ^= 1 << bit
			}
			_, err := r.Verify(token[:i], "acme", now)
			Expect(err).To(ofType(session.ErrInvalid))
		}
	})

	DescribeTable("refuses unusable keys", func(keys ...session.Key) {
		_, err := session.NewKeyring(keys)
		Expect(err).To(ofType(session.ErrKey))
	},
		Entry("none"),
		Entry("short", session.Key{ID: "k", Secret: make([]byte, 31)}),
		Entry("no id", session.Key{Secret: oldK.Secret}),
		Entry("twice", oldK, oldK),
	)

	It("refuses to sign what it could not verify", func() {
		s := sample()
		s.Account = account.ID(strings.Repeat("a", 256))
		_, err := ring(oldK).Sign(s)
		Expect(err).To(ofType(session.ErrTooLarge))
		s = sample()
		for i := range session.MaxPins {
			long := strings.Repeat(string(rune('a'+i)), 255)
			s.Pins = append(s.Pins[:i], session.Pin{Model: model.Name(long), Version: model.VersionID(long), Engine: upstream.ID(long)})
		}
		_, err = ring(oldK).Sign(s)
		Expect(err).To(ofType(session.ErrTooLarge))
	})
})

var _ = Describe("Session", func() {
	It("never moves a pin to another version, but may change its engine", func() {
		moved := pin
		moved.Version = "v2"
		_, err := sample().WithPin(moved)
		Expect(err).To(ofType(session.ErrPinned))
		before, other := sample(), pin
		other.Engine = "e9"
		after, err := before.WithPin(other)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Pins).To(ConsistOf(other))
		Expect(before.Pins).To(ConsistOf(pin))
	})

	It("finds a withdrawn version among its pins", func() {
		s, err := sample().WithPin(session.Pin{Model: "cheap", Version: "v3"})
		Expect(err).NotTo(HaveOccurred())
		gone := model.Ref{Model: "cheap", Version: "v3"}
		got, ok := s.Withdrawn(func(r model.Ref) bool { return r == gone })
		Expect(ok).To(BeTrue())
		Expect(got).To(Equal(gone))
		_, ok = s.Withdrawn(func(model.Ref) bool { return false })
		Expect(ok).To(BeFalse())
	})
})

func FuzzVerify(f *testing.F) {
	r := ring(oldK)
	valid := signed(r, sample())
	f.Add(valid)
	f.Add(valid[:20])
	f.Add("")
	f.Add(valid[:20] + "\r" + valid[20:])
	f.Add(valid + "\n")
	f.Fuzz(func(t *testing.T, token string) {
		s, err := r.Verify(token, "acme", now)
		if err == nil && token != signed(r, s) {
			t.Fatalf("a token that is not canonical was verified: %q", token)
		}
	})
}

func BenchmarkVerify(b *testing.B) {
	r := ring(newK, oldK)
	token := signed(r, sample())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Verify(token, "acme", now); err != nil {
			b.Fatal(err)
		}
	}
}
