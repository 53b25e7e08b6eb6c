"""Small stand-ins for the outside systems; the daemon never imports them."""
