// Command standin runs stand-ins for what lies outside heatherrock: the platform, model engines and plain services.
package main

import "fmt"

func main() {
	fmt.Println("standin")
}
