package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/order"
)

// Orders sends orders to one engine. It implements order.Engine.
type Orders struct {
	// Pools provides the connections.
	Pools *transport.Pools
	// Address is the engine's base URL.
	Address string
}

// versionRef is a version in the wire format.
type versionRef struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// engineState is an engine's state in the wire format.
type engineState struct {
	Fence      uint64        `json:"fence"`
	Generation uint64        `json:"generation"`
	Versions   []VersionLoad `json:"versions"`
	Role       string        `json:"role"`
}

// engineOrder is an order in the wire format.
type engineOrder struct {
	Fence      uint64       `json:"fence"`
	Generation uint64       `json:"generation"`
	Versions   []versionRef `json:"versions"`
	Role       string       `json:"role"`
}

// State implements order.Engine. Engines report the number of requests in total
// and not by version, so every loaded version is reported with that total.
func (o *Orders) State(ctx context.Context) (order.State, error) {
	var state engineState
	if err := o.get(ctx, "/state", &state); err != nil {
		return order.State{}, err
	}
	var load Load
	if err := o.get(ctx, "/load", &load); err != nil {
		return order.State{}, err
	}
	s := order.State{Fence: state.Fence, Generation: state.Generation, Role: order.Role(state.Role)}
	for _, v := range state.Versions {
		item := order.Item{Version: model.Ref{Model: model.Name(v.Model), Version: model.VersionID(v.Version)}}
		s.Target = append(s.Target, item)
		if v.Loaded {
			s.Loaded = append(s.Loaded, order.Loaded{Item: item, Active: load.Running + load.Waiting})
		}
	}
	return s, nil
}

// Apply implements order.Engine.
func (o *Orders) Apply(ctx context.Context, ord order.Order) error {
	body := engineOrder{Fence: ord.Fence, Generation: ord.Generation, Role: string(ord.Role)}
	for _, item := range ord.Items {
		body.Versions = append(body.Versions, versionRef{string(item.Version.Model), string(item.Version.Version)})
	}
	payload, err := json.Marshal(body)
	if err != nil {
		return order.ErrRefused.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, o.Address+"/state", bytes.NewReader(payload))
	if err != nil {
		return order.ErrRefused.Wrap(err, "address %q", o.Address)
	}
	req.GetBody = nil
	resp, err := o.Pools.For(o.Address).NonIdempotent().RoundTrip(req)
	if err != nil {
		return order.ErrUnknown.Wrap(err, "send order")
	}
	_ = resp.Body.Close()
	return orderError(resp.StatusCode)
}

// orderError returns the error for the status of a response to an order; nil for a
// success.
func orderError(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusConflict:
		return order.ErrFenced.New("engine has seen a higher fencing token")
	case status == http.StatusTooManyRequests:
		return order.ErrThrottled.New("weight store refused the load")
	case status < http.StatusInternalServerError:
		return order.ErrRefused.New("engine rejected the order with status %d", status)
	default:
		return order.ErrUnknown.New("engine returned status %d", status)
	}
}

// get reads a JSON document from the engine into dst. Errors:
// order.ErrUnavailable.
func (o *Orders) get(ctx context.Context, path string, dst any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, o.Address+path, nil)
	if err != nil {
		return order.ErrUnavailable.Wrap(err, "address %q", o.Address)
	}
	resp, err := o.Pools.For(o.Address).Idempotent().RoundTrip(req)
	if err != nil {
		return order.ErrUnavailable.Wrap(err, "read %s", path)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return order.ErrUnavailable.New("read %s: engine returned %s", path, resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(dst); err != nil {
		return order.ErrUnavailable.Wrap(err, "decode %s", path)
	}
	return nil
}
