"""Errors of the HTTP interface."""


class AnswerBroken(Exception):
    """The target's answer stopped before its end.

    Remedy: nothing more may be written of it; the caller's connection is
    closed so that the caller sees the break.
    """

    def __init__(self, detail: str) -> None:
        """Keep the detail for the log line."""
        super().__init__(f"the answer broke off: {detail}")
        self.detail = detail
