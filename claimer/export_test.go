package claimer

// WithoutHandOver disables the checks of names whose home has changed.
func WithoutHandOver() Option { return func(c *Claimer) { c.disabled.handOver = true } }

// WithoutFreshness disables the checks that a member's view is up to date.
func WithoutFreshness() Option { return func(c *Claimer) { c.disabled.freshness = true } }

// WithoutViewCheck disables the check that claimant and home have the same view.
func WithoutViewCheck() Option { return func(c *Claimer) { c.disabled.viewCheck = true } }
