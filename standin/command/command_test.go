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
	DescribeTable("serves until its context ends", func(args ...string) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		reader, writer := io.Pipe()
		ended := make(chan error, 1)
		go func() {
			root := command.New()
			root.SetArgs(args)
			root.SetOut(writer)
			ended <- root.ExecuteContext(ctx)
		}()
		line := make([]byte, 64)
		n, err := reader.Read(line)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(line[:n])).To(HavePrefix("listening on http://127.0.0.1:"))
		cancel()
		Expect(<-ended).To(Succeed())
	},
		Entry("engine", "engine", "--version", "cheap@v1", "--quality", "cheap@v1=0.5"),
		Entry("service", "service"),
		Entry("platform", "platform"),
		Entry("older router", "oldrouter", "--model", "cheap=cheap@v1"),
	)

	DescribeTable("refuses malformed flags", func(args ...string) {
		root := command.New()
		root.SetArgs(args)
		root.SetErr(&bytes.Buffer{})
		Expect(root.ExecuteContext(context.Background())).NotTo(Succeed())
	},
		Entry("version", "engine", "--version", "cheap"),
		Entry("quality", "engine", "--quality", "cheap@v1=2"),
		Entry("address", "service", "--listen", "nowhere"),
	)
})
