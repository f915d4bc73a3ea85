// Package modeler defines the data types that the components of an entry
// share: jobs, steps, task states, workers, instances and the manifest.
package modeler
