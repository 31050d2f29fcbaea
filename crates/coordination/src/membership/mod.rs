//! Membership: which instances are alive, from heartbeat counters spread by gossip.
