//! Contract of the client of upstreams.
