"""Names and limits of the table files."""

ATTR_VERSION = "version"
ATTR_EXPORTED = "exported"
ATTR_ROW = "row"

KIND_ACCOUNT = "account"
KIND_SERVICE = "service"

DIGEST_CHARS = 16
# Starts with a letter, so that a spreadsheet does not convert a digest to a number.
DIGEST_PREFIX = "x"

MAX_FILE_BYTES = 16 * 1024 * 1024
