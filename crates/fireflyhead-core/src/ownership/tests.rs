//! Property tests of ownership.
