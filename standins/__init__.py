"""Small stand-ins for what kingcuppond meets: the platform's store and the servers."""
