//! Contract of the dispatchers.
