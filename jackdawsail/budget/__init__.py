"""The memory and the descriptors that a process may use for its callers."""
