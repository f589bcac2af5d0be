package steering

// BuildWith builds a table with another lower bound of buckets per server.
var BuildWith = build
