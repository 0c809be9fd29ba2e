// Package release names the version of the programs.
package release

// Version is the version of both programs.
const Version = "0.2.0"
