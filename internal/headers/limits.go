package headers

const (
	// MaxServerBytes bounds the header of a backend server's response.
	MaxServerBytes = 256 << 10
	// MaxAgentBytes bounds the header of an agent's response, which has that of its server and its own.
	MaxAgentBytes = MaxServerBytes + 16<<10
)
