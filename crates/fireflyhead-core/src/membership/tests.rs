//! Property tests of membership.
