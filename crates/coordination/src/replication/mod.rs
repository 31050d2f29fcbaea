//! Replication: versioned state with deltas by change number.
