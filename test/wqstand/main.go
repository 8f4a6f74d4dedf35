// Command wqstand runs the stand-ins of the platform and the searchers.
package main

func main() {}
