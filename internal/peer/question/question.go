// Package question defines the kinds of questions that nodes send to one another.
package question

// Kind is the number of a kind of question. Numbers are never reused, because nodes of
// different releases run at the same time.
type Kind = uint32

// The kinds of questions.
const (
	Digest           Kind = iota + 1 // Configuration that the peer runs and knows of; the reply is a digest.
	Head                             // Head that the peer runs; the reply is its text.
	Chunk                            // Chunk of the configuration, by its content address.
	Loan                             // A loan of tokens of a customer's limit.
	HealthReport                     // Evidence on the health of backend servers; the reply is a ruling.
	Heartbeat                        // Heartbeat of a backend server, sent to its owner.
	CapacitySummary                  // Free capacity of an owner.
	Presence                         // Presence and load of the sender; the reply is the peer's.
	Tokens                           // Tokens of a customer's limit for a single request.
	Freshness                        // Version and age of the configuration that the peer runs.
	Configuration                    // Configuration that the peer runs, as a whole; for nodes of releases that know no pieces.
	Loads                            // Loads of backend servers; the reply holds those that the peer knows.
	SubstituteTokens                 // Tokens of a customer whose home does not answer the sender.
	PooledRetry                      // One retry from the pooled retry budget of a service.
	Evacuation                       // Whether the data centre is evacuated, as the peer knows it.
	Blame                            // Crashes of backend servers and the requests that ran there.
	Trial                            // Whether a suspected request may run, or that its run has ended.
	FleetKey                         // Key of the fingerprints of requests.
	Manifest                         // Manifest of the configuration that the peer runs.
	Pieces                           // Pieces of the configuration that the peer runs.
)
