// Package modeler holds the data that the parts of an entry exchange: jobs of
// steps, the state of their tasks, workers, instances and the manifest.
package modeler
