package work

// UnreadField is a part of a configuration that processes do not use as it is written, although they accept the configuration.
type UnreadField struct {
	// Path leads to the part, in the names of the file.
	Path string
	// Want is what a value must be to be used; empty if the name is unknown.
	Want string
}
