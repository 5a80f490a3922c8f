// Package discovery keeps what one process believes of the platform: the routing
// table in force, the instances of all endpoints, and the weights that operators
// have named. It lists and watches the platform's store, and goes on with what it
// knew while the store is away.
package discovery
