"""Local request path: admission, queues, quotas, routing and retries."""
