"""At-most-once execution: an idempotency key is claimed in the store before its request runs."""
