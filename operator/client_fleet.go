package operator

import (
	"context"
	"net/http"
	"net/url"

	"github.com/coltsfootlever/coltsfootlever/mover"
)

// Pools returns the pools of the rules in force.
func (c *Client) Pools(ctx context.Context) ([]PoolReply, error) {
	var replies []PoolReply
	err := c.Call(ctx, http.MethodGet, "/pools", nil, &replies)
	return replies, err
}

// DrainPool drains as many instances of a pool as the budgets allow.
func (c *Client) DrainPool(ctx context.Context, pool string) (mover.PoolResult, error) {
	return c.orderPool(ctx, pool, "drain")
}

// ResumePool returns the drained instances of a pool to service.
func (c *Client) ResumePool(ctx context.Context, pool string) (mover.PoolResult, error) {
	return c.orderPool(ctx, pool, "resume")
}

func (c *Client) orderPool(ctx context.Context, pool, verb string) (mover.PoolResult, error) {
	var result mover.PoolResult
	err := c.Call(ctx, http.MethodPost, "/pools/"+url.PathEscape(pool)+"/"+verb, nil, &result)
	return result, err
}

// Instances returns the records of the instances in a pool, or of all instances
// when pool is empty.
func (c *Client) Instances(ctx context.Context, pool string) ([]mover.Instance, error) {
	var list []mover.Instance
	query := url.Values{}
	if pool != "" {
		query.Set("pool", pool)
	}
	err := c.Call(ctx, http.MethodGet, "/instances?"+query.Encode(), nil, &list)
	return list, err
}

// DrainInstance takes an instance out of service until it is resumed.
func (c *Client) DrainInstance(ctx context.Context, id string) (mover.Instance, error) {
	return c.orderInstance(ctx, id, "drain", nil)
}

// ResumeInstance returns an instance to service.
func (c *Client) ResumeInstance(ctx context.Context, id string) (mover.Instance, error) {
	return c.orderInstance(ctx, id, "resume", nil)
}

// MoveInstance drains an instance and puts it into service in another pool.
func (c *Client) MoveInstance(ctx context.Context, id, pool string) (mover.Instance, error) {
	return c.orderInstance(ctx, id, "move", MoveRequest{Pool: pool})
}

// EvictInstance marks an instance as dead, which the operator has verified.
func (c *Client) EvictInstance(ctx context.Context, id string) (mover.Instance, error) {
	return c.orderInstance(ctx, id, "evict", nil)
}

func (c *Client) orderInstance(ctx context.Context, id, verb string, in any) (mover.Instance, error) {
	var i mover.Instance
	err := c.Call(ctx, http.MethodPost, "/instances/"+url.PathEscape(id)+"/"+verb, in, &i)
	return i, err
}

// EvictEntry removes a registered entry whose process is dead, which the
// operator has verified.
func (c *Client) EvictEntry(ctx context.Context, id string) (EvictReply, error) {
	var reply EvictReply
	err := c.Call(ctx, http.MethodPost, "/entries/"+url.PathEscape(id)+"/evict", nil, &reply)
	return reply, err
}
