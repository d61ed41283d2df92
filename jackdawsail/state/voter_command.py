"""The command that changes who votes among the control hosts."""

from typing import Annotated, Literal

from pydantic import Field

from jackdawsail.settings.models import Name
from jackdawsail.wire.codec import message


@message('voters-change')
class VotersChange:
    """Changes who votes among the control hosts; empty or zero leaves a part as it is.

    The state machine only audits it; the leader then changes the group.
    """

    retire: Literal[''] | Name = ''
    take_back: Literal[''] | Name = ''
    count: Annotated[int, Field(ge=0, le=9)] = 0
