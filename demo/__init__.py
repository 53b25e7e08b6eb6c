"""A whole system in small on one machine; started by `script/demo`."""
