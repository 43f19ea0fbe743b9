// Package share keeps what each team has had of a pool and what is due to it by its weight. It decides
// nothing by itself: package schedule asks it which teams are behind and which are ahead. It does no
// input or output, and takes the time as an argument.
package share
