// Package cmds implements the command line, with one file per subcommand that holds its flags, help text and run function.
package cmds
