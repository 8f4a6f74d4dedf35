// Command wisteriaquay is the query tier in one program.
package main

func main() {}
