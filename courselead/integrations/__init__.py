"""One folder per outside system; the core imports none of them."""
