package quarantine

// PromptParts are the parts of a request's prompt.
type PromptParts interface {
	// Shared returns the IDs of the parts that other requests may share, in order.
	Shared() []string
}
