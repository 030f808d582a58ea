package target_test

import (
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/target"
)

// TestPathIsThatOfTheRequestLine guards against proper requests that are refused, and paths that are decoded
// or cleaned on the way.
func TestPathIsThatOfTheRequestLine(t *testing.T) {
	for text, want := range map[string]string{
		"/": "/", "/a/b": "/a/b", "/a/b?q=/../x%zz": "/a/b", "/a%2Fb": "/a%2Fb", "/a%2fb/": "/a%2fb/", "//host/a": "//host/a",
		"/a//b": "/a//b", "/a/...": "/a/...", "/.well-known/x": "/.well-known/x", "/a..b/c.": "/a..b/c.", "/a/%41": "/a/%41",
		"/a:b@c;d=e,f": "/a:b@c;d=e,f", "/d%C3%ADas/": "/d%C3%ADas/", "/a|{b}": "/a|{b}", "/a?": "/a", "/%2e%2e%2e/": "/%2e%2e%2e/",
		"/a%20b%5Cc": "/a%20b%5Cc", "/d\u00edas/": "/d\u00edas/",
	} {
		g := NewWithT(t)
		path, err := target.Path(text)
		g.Expect(err).NotTo(HaveOccurred(), text)
		g.Expect(path).To(Equal(want))
	}
}

// TestTargetOfSeveralReadingsIsInvalid guards against requests whose route differs between the router and
// an upstream that removes dot segments, cuts fragments or takes another host from the target.
func TestTargetOfSeveralReadingsIsInvalid(t *testing.T) {
	for _, text := range []string{
		"", "*", "a", "http://site.example/a/", "HTTP://site.example", "site.example:443", "/a/../b", "/a/./b", "/..", "/a/.", "/a/..?q",
		"/a/%2e%2e/b", "/a/.%2E/b", "/a/%2E", "/a%2f..%2fb", "/a%2F.", "/a%5C..%5Cb", `/a\b`, "/a%00b", "/a\x00b", "/a b", "/a\x7f", "/a\tb",
		"/a%zz", "/a%", "/a%4", "/a%4g/", "/a#b", "/a?b#c",
	} {
		_, err := target.Path(text)
		NewWithT(t).Expect(errorx.IsOfType(err, target.ErrInvalid)).To(BeTrue(), "%q: %v", text, err)
	}
}

// BenchmarkPath measures the reading of a target, which is part of each decision.
func BenchmarkPath(b *testing.B) {
	for b.Loop() {
		if _, err := target.Path("/permits/A%2F2026%2F00017/lines?page=3&sort=date"); err != nil {
			b.Fatal(err)
		}
	}
}
