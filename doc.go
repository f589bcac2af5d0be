// Package bergamotbank is the root of a layer-4 load balancer. The programs are
// under cmd; README.md explains the whole.
package bergamotbank
