package steering

// BuildWithMinBuckets builds a table with the given minimum number of buckets per
// server.
var BuildWithMinBuckets = build
