"""The error that programs print as one message, without a traceback."""


class UserError(Exception):
    """An error in what the user supplied; the program prints it and ends with ``exit_code``."""

    def __init__(self, text: str, exit_code: int = 2) -> None:
        super().__init__(text)
        self.exit_code = exit_code
