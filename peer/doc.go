// Package peer speaks to the other entry instances: it keeps configuration, assignments and
// load summaries in step, and knows how recently the configuration was confirmed.
package peer
