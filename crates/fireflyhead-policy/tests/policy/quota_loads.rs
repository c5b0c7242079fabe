//! Quotas under load: how much of its quota an account gets.
