"""Names in the files of the table."""

ATTR_VERSION = "version"
ATTR_EXPORTED = "exported"
ATTR_ROW = "row"

KIND_ACCOUNT = "account"
KIND_SERVICE = "service"

DIGEST_CHARS = 16
# A letter in front, so that no spreadsheet reads a digest as a number.
DIGEST_PREFIX = "x"

MAX_FILE_BYTES = 16 * 1024 * 1024
