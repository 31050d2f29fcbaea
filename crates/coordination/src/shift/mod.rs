//! Shifts: how fast traffic may move between failure domains.
