"""At most once: a request's key is claimed in the store before the request may run."""
