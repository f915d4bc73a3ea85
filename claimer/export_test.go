package claimer

// WithoutHandOver switches off the rules about names that moved.
func WithoutHandOver() Option { return func(c *Claimer) { c.disabled.handOver = true } }

// WithoutFreshness switches off the rules about members that are cut off.
func WithoutFreshness() Option { return func(c *Claimer) { c.disabled.freshness = true } }

// WithoutViewCheck switches off the comparison of views and homes.
func WithoutViewCheck() Option { return func(c *Claimer) { c.disabled.viewCheck = true } }
