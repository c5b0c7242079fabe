//! Property tests of at-most-once execution.
