//! Ownership: which live entry dispatches to a backend server, and when it may.
