package admission

import "net/http"

// controlPrefix is the path prefix of the calls between agents of a service.
const controlPrefix = "/request/"

// Handler returns the path prefix and the handler of the calls that siblings
// make on the control address.
func (g *Gate) Handler() (prefix string, handler http.Handler) {
	return controlPrefix, http.NotFoundHandler()
}
