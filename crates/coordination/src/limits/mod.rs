//! Limits: slots per backend server, queues by rank, retry budgets and quarantine.
