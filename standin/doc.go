// Package standin holds small stand-ins for the systems around citronknot, for tests and the
// demonstration: the platform and a target. They keep everything in memory and can be told
// to fail.
package standin
