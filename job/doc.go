// Package job defines the jobs that teams submit: their steps and tasks, the limits that a
// submission is checked against, the progress and state of a job, and the JSON in which jobs and
// progress are stored. It also defines the configuration under which jobs are accepted. It does
// no input or output.
package job
