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
	now    = time.Unix(1_800_000_000, 0)
	oldKey = session.Key{ID: "k1", Secret: []byte(strings.Repeat("1", 32))}
	newKey = session.Key{ID: "k2", Secret: []byte(strings.Repeat("2", 32))}
	pin    = session.Pin{Model: "strong", Version: "v1", Engine: "e7"}
)

func newKeyring(keys ...session.Key) *session.Keyring {
	r, err := session.NewKeyring(keys)
	if err != nil {
		panic(err)
	}
	return r
}

func sampleSession() session.Session {
	s, err := session.New(42, "acme", now, time.Hour).WithPin(pin)
	if err != nil {
		panic(err)
	}
	return s
}

func sign(r *session.Keyring, s session.Session) string {
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
	It("verifies a token signed before key rotation and returns the same session", func() {
		got, err := newKeyring(newKey, oldKey).Verify(sign(newKeyring(oldKey), sampleSession()), "acme", now)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(sampleSession()))
	})

	It("rejects a token whose key was removed or has a different secret", func() {
		token := sign(newKeyring(oldKey), sampleSession())
		_, err := newKeyring(newKey).Verify(token, "acme", now)
		Expect(err).To(ofType(session.ErrInvalid))
		_, err = newKeyring(session.Key{ID: "k1", Secret: newKey.Secret}).Verify(token, "acme", now)
		Expect(err).To(ofType(session.ErrInvalid))
	})

	It("rejects an expired token and a token of another account with different errors", func() {
		r := newKeyring(oldKey)
		token := sign(r, sampleSession())
		_, err := r.Verify(token, "acme", now.Add(time.Hour-time.Second))
		Expect(err).NotTo(HaveOccurred())
		_, err = r.Verify(token, "acme", now.Add(time.Hour))
		Expect(err).To(ofType(session.ErrExpired))
		_, err = r.Verify(token, "other", now)
		Expect(err).To(ofType(session.ErrWrongAccount))
	})

	It("rejects a token with any flipped bit and any truncated token", func() {
		r := newKeyring(oldKey)
		token := sign(r, sampleSession())
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

	DescribeTable("rejects unusable keys", func(keys ...session.Key) {
		_, err := session.NewKeyring(keys)
		Expect(err).To(ofType(session.ErrKey))
	},
		Entry("no keys"),
		Entry("secret one byte too short", session.Key{ID: "k", Secret: make([]byte, 31)}),
		Entry("empty id", session.Key{Secret: oldKey.Secret}),
		Entry("repeated id", oldKey, oldKey),
	)

	It("rejects signing a session with a too long string or a too long token", func() {
		s := sampleSession()
		s.Account = account.ID(strings.Repeat("a", 256))
		_, err := newKeyring(oldKey).Sign(s)
		Expect(err).To(ofType(session.ErrTooLarge))
		s = sampleSession()
		for i := range session.MaxPins {
			long := strings.Repeat(string(rune('a'+i)), 255)
			s.Pins = append(s.Pins[:i], session.Pin{Model: model.Name(long), Version: model.VersionID(long),
				Engine: upstream.ID(long)})
		}
		_, err = newKeyring(oldKey).Sign(s)
		Expect(err).To(ofType(session.ErrTooLarge))
	})
})

var _ = Describe("Session", func() {
	It("rejects a change of a pinned version and allows a change of the engine", func() {
		otherVersion := pin
		otherVersion.Version = "v2"
		_, err := sampleSession().WithPin(otherVersion)
		Expect(err).To(ofType(session.ErrPinned))
		original, otherEngine := sampleSession(), pin
		otherEngine.Engine = "e9"
		updated, err := original.WithPin(otherEngine)
		Expect(err).NotTo(HaveOccurred())
		Expect(updated.Pins).To(ConsistOf(otherEngine))
		Expect(original.Pins).To(ConsistOf(pin))
	})

	It("returns a withdrawn version among the pins, and none if no version is withdrawn", func() {
		s, err := sampleSession().WithPin(session.Pin{Model: "cheap", Version: "v3"})
		Expect(err).NotTo(HaveOccurred())
		withdrawn := model.Ref{Model: "cheap", Version: "v3"}
		got, ok := s.Withdrawn(func(r model.Ref) bool { return r == withdrawn })
		Expect(ok).To(BeTrue())
		Expect(got).To(Equal(withdrawn))
		_, ok = s.Withdrawn(func(model.Ref) bool { return false })
		Expect(ok).To(BeFalse())
	})
})

// FuzzVerify checks that only the canonical encoding of a token is accepted.
func FuzzVerify(f *testing.F) {
	r := newKeyring(oldKey)
	valid := sign(r, sampleSession())
	f.Add(valid)
	f.Add(valid[:20])
	f.Add("")
	f.Add(valid[:20] + "\r" + valid[20:])
	f.Add(valid + "\n")
	f.Fuzz(func(t *testing.T, token string) {
		s, err := r.Verify(token, "acme", now)
		if err == nil && token != sign(r, s) {
			t.Fatalf("verified a non-canonical token: %q", token)
		}
	})
}

// BenchmarkVerify verifies a token signed with the newest of two keys.
func BenchmarkVerify(b *testing.B) {
	r := newKeyring(newKey, oldKey)
	token := sign(r, sampleSession())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Verify(token, "acme", now); err != nil {
			b.Fatal(err)
		}
	}
}
