// Package job holds what teams hand in: a job with steps of tasks, its limits, its progress,
// and the JSON in which citronknot keeps them in the row store. It does no input or output.
package job
