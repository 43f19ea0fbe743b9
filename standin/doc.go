// Package standin provides in-memory replacements for the systems that citronknot depends on:
// the platform (table service, object store and instance list) and a target. Tests, load
// programs and the demonstration use them and inject faults into them.
package standin
