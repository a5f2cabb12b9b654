// Package question lists the kinds of questions that nodes ask one another.
package question

// Kind is the number of a kind of question. Numbers are never reused, since
// nodes of different releases run side by side.
type Kind = uint32

// The kinds of questions.
const (
	Digest           Kind = iota + 1 // What the peer runs and knows; answered with a digest.
	Head                             // The head that the peer runs; answered with its text.
	Chunk                            // A part of the configuration, by address.
	Loan                             // Tokens of a customer's limit.
	Report                           // Evidence on backend servers; answered with a ruling.
	Announce                         // A backend server's heartbeat, for its owner.
	Summary                          // An owner's capacity.
	Presence                         // A node's presence and load; answered with the peer's.
	Tokens                           // Tokens of a customer's limit, one request at a time.
	Freshness                        // Version and proof of the configuration that the peer runs.
	Configuration                    // The configuration that the peer runs.
	Loads                            // Loads of backend servers; answered with those that the peer knows.
	SubstituteTokens                 // Tokens of a customer whose home does not answer the asker.
	Repeats                          // A repeat out of the pooled budget of a service.
)
