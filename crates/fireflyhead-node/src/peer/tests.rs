//! Contract of the peer protocol.
