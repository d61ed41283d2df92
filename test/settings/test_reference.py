import re
from pathlib import Path
from typing import get_args

from pydantic import BaseModel

from jackdawsail.settings.models import Settings

PAGE = Path(__file__).parents[2] / 'docs' / 'reference' / 'settings.md'
ROW = re.compile(r'^\| `(\w+)` \|', re.MULTILINE)


def section_of(annotation: object) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    candidates = [section_of(argument) for argument in get_args(annotation)]
    return next((section for section in candidates if section is not None), None)


def test_page_lists_exactly_the_keys_of_all_sections() -> None:
    parts = re.split(r'^## ', PAGE.read_text('utf8'), flags=re.MULTILINE)
    listed = {part.split('\n')[0].strip('`'): set(ROW.findall(part)) for part in parts[1:]}
    sections = {
        name: section_of(field.annotation) for name, field in Settings.model_fields.items()
    }
    expected = {name: set(section.model_fields) for name, section in sections.items() if section}
    expected['Top level'] = {name for name, section in sections.items() if section is None}
    assert listed == expected
