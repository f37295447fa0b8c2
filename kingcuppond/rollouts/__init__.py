"""Roll-outs: the traffic of a service moves to a new version of its servers, or back."""
