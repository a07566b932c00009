//! Routing: choice of replica, prefix affinity, retries, resume.
