//! Decisions of the serving layer, as state machines without I/O.
//!
//! Each module holds one decision: what a table row means, which upstream a
//! request goes to, what a worker runs next, whether a request may run at all.
//! Time and randomness are arguments, so that the actors of a node, the tests
//! and the policy tool drive the same code.

pub mod dispatch;
pub mod hostlist;
pub mod limits;
pub mod loads;
pub mod membership;
pub mod once;
pub mod ownership;
pub mod placement;
pub mod table;
pub mod types;
pub mod wire;
