//! Operations behind the commands of `fireflyhead`.

pub mod ops;
