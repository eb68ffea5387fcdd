// Command garnetctl is the operators' command line.
package main

import (
	"os"

	"garnethoist.org/garnethoist/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
