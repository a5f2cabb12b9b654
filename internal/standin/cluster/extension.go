package cluster

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/netip"

	"filbertturn.example/filbertturn/internal/admin/client"
	"filbertturn.example/filbertturn/internal/admin/message"
	"filbertturn.example/filbertturn/internal/config/document"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/standin/process"
)

// Token is the operator's token, for the administration addresses.
func (c *Cluster) Token() string { return operatorToken }

// Admin returns a client of a node's administration API.
func (c *Cluster) Admin(node int) *client.Client {
	return &client.Client{Address: c.Admins[node], Token: operatorToken}
}

// Publish changes the set that a node runs and publishes it through that node.
func (c *Cluster) Publish(ctx context.Context, node int, change func(*set.Set)) (message.Published, error) {
	current, err := c.Admin(node).Config(ctx)
	if err != nil {
		return message.Published{}, err
	}
	s, err := document.Decode(current.Set)
	if err != nil {
		return message.Published{}, err
	}
	change(&s)
	text, err := document.Encode(s)
	if err != nil {
		return message.Published{}, err
	}
	return c.Admin(node).Publish(ctx, message.Publish{Base: current.Revision, PublishID: rand.Text(), Set: text})
}

// Announce returns the addresses that backend servers announce themselves at.
func (c *Cluster) Announce() []netip.AddrPort { return c.announce }

// Serve starts further backend servers of another service and returns their
// addresses.
func (c *Cluster) Serve(service, dataCentre string, count int) ([]netip.AddrPort, error) {
	addresses, err := c.settings.Ports.Take(count)
	if err != nil {
		return nil, err
	}
	for _, a := range addresses {
		args := []string{"backend", "--listen", a.String(), "--service", service, "--data-centre", dataCentre}
		for _, to := range c.announce {
			args = append(args, "--announce", to.String())
		}
		p, err := c.run(c.settings.Standin, args...)
		if err != nil {
			return nil, err
		}
		if _, err := p.Await(listening, 1, startTimeout); err != nil {
			return nil, fmt.Errorf("cluster: backend server %s: %w", a, err)
		}
	}
	return addresses, nil
}

// Processes returns all processes, in the order of their start.
func (c *Cluster) Processes() []*process.Process { return c.processes }

// Restart starts a node that has ended anew, at the same addresses.
func (c *Cluster) Restart(i int) error {
	p, err := c.nodes[i].Again()
	if err != nil {
		return err
	}
	c.nodes[i] = p
	c.processes = append(c.processes, p)
	return nil
}
