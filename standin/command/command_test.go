package command_test

import (
	"bytes"
	"context"
	"io"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/standin/command"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stand-in command")
}

var _ = Describe("Command", func() {
	DescribeTable("prints its URL and serves until its context ends", func(args ...string) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		reader, writer := io.Pipe()
		result := make(chan error, 1)
		go func() {
			root := command.New()
			root.SetArgs(args)
			root.SetOut(writer)
			result <- root.ExecuteContext(ctx)
		}()
		line := make([]byte, 64)
		n, err := reader.Read(line)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(line[:n])).To(HavePrefix("listening on http://127.0.0.1:"))
		cancel()
		Expect(<-result).To(Succeed())
	},
		Entry("engine", "engine", "--version", "cheap@v1", "--quality", "cheap@v1=0.5"),
		Entry("service", "service"),
		Entry("platform", "platform"),
		Entry("older router", "oldrouter", "--model", "cheap=cheap@v1"),
	)

	DescribeTable("returns an error for invalid flag values", func(args ...string) {
		root := command.New()
		root.SetArgs(args)
		root.SetErr(&bytes.Buffer{})
		Expect(root.ExecuteContext(context.Background())).NotTo(Succeed())
	},
		Entry("version without @", "engine", "--version", "cheap"),
		Entry("quality above 1", "engine", "--quality", "cheap@v1=2"),
		Entry("listen address without a port", "service", "--listen", "nowhere"),
	)
})
