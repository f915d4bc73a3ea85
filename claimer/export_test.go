package claimer

// WithoutHandOver switches off the rules about names that moved.
func WithoutHandOver() Option { return func(c *Claimer) { c.skip.handOver = true } }

// WithoutFresh switches off the rules about members that are cut off.
func WithoutFresh() Option { return func(c *Claimer) { c.skip.fresh = true } }

// WithoutView switches off the comparison of views and homes.
func WithoutView() Option { return func(c *Claimer) { c.skip.view = true } }
