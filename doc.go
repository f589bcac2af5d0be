// Package bergamotbank is the root of a layer-4 load balancer. The commands are in
// cmd; see README.md for an overview.
package bergamotbank
