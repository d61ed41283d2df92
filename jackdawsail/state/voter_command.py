"""The command that changes the voters among the control hosts."""

from typing import Annotated, Literal

from pydantic import Field

from jackdawsail.settings.models import Name
from jackdawsail.wire.codec import message


@message('voters-change')
class VotersChange:
    """Changes the voters among the control hosts; an empty or zero field changes nothing.

    The state machine only records it in the audit trail; the leader then changes the group.
    """

    retire: Literal[''] | Name = ''
    take_back: Literal[''] | Name = ''
    count: Annotated[int, Field(ge=0, le=9)] = 0
