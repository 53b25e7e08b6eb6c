"""Request path of one entry host: admission, queues, quotas, routing, retries."""
