//! Operations behind the commands of `fireflyhead`.
//!
//! A command in `src/bin/fireflyhead/commands/` parses its arguments and calls
//! one operation here, so that operations can be used and tested without a
//! command line.

pub mod ops;
