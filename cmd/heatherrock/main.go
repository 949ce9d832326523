// Command heatherrock is the router: every process between callers and endpoints runs it.
package main

import "fmt"

// release is the version that the program reports.
const release = "0.1.0"

func main() {
	fmt.Println("heatherrock", release)
}
