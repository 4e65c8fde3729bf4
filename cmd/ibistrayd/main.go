// Command ibistrayd is the daemon: its roles are chosen by settings.
package main

func main() {}
