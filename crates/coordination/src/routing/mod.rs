//! Routing: which owner a request goes to, within advertised headroom and link budgets.
