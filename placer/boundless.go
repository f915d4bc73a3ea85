package placer

// boundless neither bounds retries nor holds tasks back.
type boundless struct{}

func (boundless) Take(string) bool           { return true }
func (boundless) Succeeded(string)           {}
func (boundless) Failed(string, string) bool { return false }
func (boundless) Held(string) bool           { return false }
func (boundless) Forget(string)              {}
