// Package cmds is the command line: one file a subcommand, with its flags, help and run function together.
package cmds
