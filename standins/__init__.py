"""Stand-ins for the external systems; the daemon never imports them."""
