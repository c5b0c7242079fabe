//! Bad input on the listener for callers.
