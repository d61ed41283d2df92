"""The one error that is shown to a user as a single clear line."""


class UserError(Exception):
    """Raised only at the command line's edge; ``exit_code`` ends the program."""

    def __init__(self, text: str, exit_code: int = 2) -> None:
        super().__init__(text)
        self.exit_code = exit_code
